package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// poisonCase sends a request that crashes each server that begins to run it, again and
// again, with the same path, caller and body.
func poisonCase(s *site) {
	const (
		length    = 80 * time.Second
		interval  = 5 * time.Second
		allowed   = 3
		afterKill = 3
	)
	var flags []string
	if s.trouble {
		flags = []string{"-crash-on", "poison"}
	}
	s.configure(1)
	var closing atomic.Bool
	for i, zone := range []string{"almaty-a", "almaty-b", "almaty-a", "almaty-b", "almaty-a", "almaty-b", "almaty-a", "almaty-b"} {
		id := fmt.Sprintf("app-%d", i)
		s.restarted(&closing, id, "expiry-app", "", zone, flags...)
	}
	gates := s.gates("front-almaty-a-1", "front-almaty-a-2")
	time.Sleep(2 * time.Second)
	began := time.Now()
	// The request comes six times at once, at both machines, every few seconds.
	for n := 0; time.Since(began) < length; n++ {
		var running sync.WaitGroup
		for k, name := range []string{"poison", "poison", "poison", "poison", "poison", "poison", "sound"} {
			running.Go(func() { s.lookup(gates[(n+k)%2], name, fmt.Sprintf("%s-%d-%d", name, n, k)) })
		}
		running.Wait()
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * interval)))
	}
	closing.Store(true)
	crashes, late := s.crashes(afterKill)
	text := fmt.Sprintf("the request crashed %d servers, %d of them later than contact-ms after the third", crashes, late)
	if late > allowed {
		s.finish(1, "BUDGET broken: "+text)
	}
	s.finish(0, "held: "+text)
}

// lookup sends one lookup on a channel of its own.
func (s *site) lookup(g *gate, name, id string) {
	c, err := dial(g.front)
	if err != nil {
		fatal(err)
	}
	defer c.conn.Close()
	s.note("client sends %s to %s", id, g.name)
	s.note("client got %v", c.exchange("GET", "/lookup/"+name, id, nil, nil, 1500*time.Millisecond))
}

// contact is contact-ms of the site.
const contact = 4 * time.Second

// crashes returns how often servers crashed, and how often later than contact-ms after
// the crash with the given number.
func (s *site) crashes(after int) (all, late int) {
	var list []time.Time
	for _, line := range s.serverRuns() {
		if strings.Contains(line, " crashes with ") {
			at, err := time.Parse("15:04:05.000", line[:12])
			if err != nil {
				fatal(err)
			}
			list = append(list, at)
		}
	}
	sortTimes(list)
	for _, at := range list {
		if len(list) >= after && at.Sub(list[after-1]) > contact {
			late++
		}
	}
	return len(list), late
}

// restarted starts a server that is back two seconds after each crash.
func (s *site) restarted(closing *atomic.Bool, id, service, stage, zone string, flags ...string) {
	const slots = 6
	p := s.server(id, service, stage, zone, slots, flags...)
	go func() {
		for {
			p.mu.Lock()
			done := p.done
			p.mu.Unlock()
			<-done
			if closing.Load() {
				return
			}
			time.Sleep(2 * time.Second)
			s.note("%s starts again", id)
			p.run()
			s.awaitPort(p.addr)
			s.list(id, service, stage, zone, p.addr, slots)
		}
	}()
}

func sortTimes(list []time.Time) {
	for i := range list {
		for k := i; k > 0 && list[k].Before(list[k-1]); k-- {
			list[k], list[k-1] = list[k-1], list[k]
		}
	}
}
