package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// link is a proxy between one machine and the store.
type link struct {
	addr   string
	target string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
	// polled is when the machine last asked for changes of the list of servers.
	polled time.Time
	polls  int
}

func (s *site) newLink() *link {
	k := &link{addr: s.free(), target: s.storeAddr, conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp", k.addr)
	if err != nil {
		fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (k *link) serve(c net.Conn) {
	k.mu.Lock()
	if k.cut {
		k.mu.Unlock()
		reset(c)
		return
	}
	up, err := net.Dial("tcp", k.target)
	if err != nil {
		k.mu.Unlock()
		reset(c)
		return
	}
	k.conns[c], k.conns[up] = true, true
	k.mu.Unlock()
	go func() {
		_, _ = io.Copy(c, up)
		_ = c.Close()
	}()
	_, _ = io.Copy(up, io.TeeReader(c, watch{k}))
	_ = up.Close()
	k.mu.Lock()
	delete(k.conns, c)
	delete(k.conns, up)
	k.mu.Unlock()
}

// watch notes the requests that pass.
type watch struct{ k *link }

func (w watch) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "/api/rows-feed") && strings.Contains(string(p), "table=servers") {
		w.k.mu.Lock()
		w.k.polled = time.Now()
		w.k.polls++
		w.k.mu.Unlock()
	}
	return len(p), nil
}

// count returns how often the machine has asked for changes of the list.
func (k *link) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.polls
}

// setCut begins or ends a cut that resets channels.
func (k *link) setCut(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = on
	if on {
		for c := range k.conns {
			reset(c)
		}
	}
}
