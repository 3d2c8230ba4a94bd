package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// entryLife is how long the entry of a worker that is silent stays: three liveness
	// reports of 1,200 ms.
	entryLife = 3600 * time.Millisecond
	// downTime is how long a crashed worker is away.
	downTime = 2 * time.Second
	// workTime is how long a worker works on a request.
	workTime = 15 * time.Millisecond
)

// worker is a sound worker of a plain service. It crashes when it begins to run a poisonous
// request, and is back after some seconds as a new boot with a new id at its address.
type worker struct {
	store         *store
	service, zone string
	name          string
	slots         int
	addr          string
	rec           *record
	// poisonous reports whether a request crashes the worker.
	poisonous func(r *http.Request) bool
	// ran is called for each request that the worker begins to run.
	ran func(id string, r *http.Request, poison bool)

	mu      sync.Mutex
	boot    int
	id      string
	running int
	waiting int
	server  *http.Server
	conns   map[net.Conn]bool
}

func startWorker(w *worker) *worker {
	l := listen()
	w.addr = l.Addr().String()
	w.start(l)
	return w
}

func (w *worker) start(l net.Listener) {
	w.mu.Lock()
	w.boot++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.boot)
	w.running, w.waiting = 0, 0
	conns := map[net.Conn]bool{}
	w.conns = conns
	id := w.id
	server := &http.Server{
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, id) }),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			w.mu.Lock()
			conns[c] = true
			w.mu.Unlock()
			return ctx
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateClosed {
				w.mu.Lock()
				delete(conns, c)
				w.mu.Unlock()
			}
		},
	}
	w.server = server
	w.mu.Unlock()
	w.store.put("servers", id, map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	go func() { _ = server.Serve(l) }()
}

// crash ends the process of the worker: all its channels are reset.
func (w *worker) crash() {
	w.mu.Lock()
	server, id, conns := w.server, w.id, w.conns
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	w.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(entryLife, func() { w.store.remove("servers", id) })
	time.AfterFunc(downTime, func() {
		for range 100 {
			l, err := net.Listen("tcp", w.addr)
			if err == nil {
				w.start(l)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request, id string) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	request := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", request)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !w.enter(r.Context()) {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	poison := w.poisonous != nil && w.poisonous(r)
	if w.ran != nil {
		w.ran(id, r, poison)
	}
	if poison {
		w.crash()
		return
	}
	time.Sleep(workOf(r))
	w.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.slots)
	w.mu.Unlock()
	answer := fmt.Sprintf("answer to %s %s %d", request, r.URL.Path, len(body))
	rw.Header().Set("Server-Signature", "s."+id)
	rw.Header().Set("Instance-Load", load)
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(rw, answer)
}

// workOf returns how long a worker works on a request: as many ms as a path that ends with
// slow-MS says.
func workOf(r *http.Request) time.Duration {
	if _, text, ok := strings.Cut(r.URL.Path, "slow-"); ok {
		if n, err := strconv.Atoi(text); err == nil {
			return time.Duration(n) * time.Millisecond
		}
	}
	return workTime
}

// enter waits for a slot. It reports false if the queue is full or the caller has left.
func (w *worker) enter(ctx context.Context) bool {
	w.mu.Lock()
	if w.running >= w.slots && w.waiting >= 4*w.slots {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	for w.running >= w.slots && ctx.Err() == nil {
		w.mu.Unlock()
		time.Sleep(time.Millisecond)
		w.mu.Lock()
	}
	w.waiting--
	if ctx.Err() != nil {
		w.mu.Unlock()
		return false
	}
	w.running++
	w.mu.Unlock()
	return true
}

func (w *worker) leave() {
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
}
