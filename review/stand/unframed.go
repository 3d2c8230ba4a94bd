package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// unframedCase kills a decode server in the middle of streams that have neither a length
// nor chunks and end with their channel.
func unframedCase(s *site) {
	const streams, events = 8, 50
	flags := []string{"-unframed", "-gap", "60ms", "-events", fmt.Sprint(events)}
	s.configure(1)
	s.server("p-1", "summary-llm", "prefill", "almaty-a", 12)
	s.server("p-2", "summary-llm", "prefill", "almaty-b", 12)
	d1 := s.server("d-1", "summary-llm", "decode", "almaty-a", 12, flags...)
	d2 := s.server("d-2", "summary-llm", "decode", "almaty-b", 12, flags...)
	gates := s.gates("front-almaty-a-1", "front-almaty-a-2")
	time.Sleep(2 * time.Second)
	answers := make([]answer, streams)
	var running sync.WaitGroup
	for i := range streams {
		running.Go(func() {
			id := fmt.Sprintf("stream-%d", i)
			c, err := dial(gates[i%2].front)
			if err != nil {
				fatal(err)
			}
			defer c.conn.Close()
			route := "/audit/"
			if i >= streams/2 {
				route = "/basic/"
			}
			s.note("client sends %s %s to %s", id, route, gates[i%2].name)
			answers[i] = c.exchange("POST", route+id, id, generation(id), []byte("summarise"), 14*time.Second)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		s.note("kill d-1")
		d1.signal(syscall.SIGKILL)
	}
	running.Wait()
	bad, good := 0, 0
	for _, a := range answers {
		n := strings.Count(a.body, "data: ")
		s.note("client got %v, %d of %d events", a, n, events)
		switch {
		case a.status == 200 && a.complete && n < events:
			bad++
		case a.status == 200 && a.complete:
			good++
		}
	}
	text := fmt.Sprintf("%d of %d streams ended as complete before their last piece, %d were complete", bad, streams, good)
	s.note("second part: a part of prompts that crashes servers")
	d1.kill()
	d2.kill()
	s.store.drop("servers", "d-1")
	s.store.drop("servers", "d-2")
	crashes, late, empty := s.deadlyPart(gates)
	text += fmt.Sprintf("; a part of prompts crashed servers %d times, %d of them later than contact-ms after the fifth, and %d of its requests got a complete success without its events", crashes, late, empty)
	if bad > 0 {
		s.finish(1, "ORDER broken: "+text)
	}
	if late > 3 {
		s.finish(1, "BUDGET broken: "+text)
	}
	if !s.trouble && good < streams {
		s.finish(2, "not all streams were complete without trouble: "+text)
	}
	s.finish(0, "held: "+text)
}

// deadlyPart sends requests of which some have a part that crashes each server that has
// begun to write an answer on it, no two alike. It returns the crashes, those that are
// late, and how many of these requests got a complete success without all events.
func (s *site) deadlyPart(gates []*gate) (crashes, late, empty int) {
	const (
		length   = 36 * time.Second
		interval = 3 * time.Second
		deadly   = "deadbeef"
	)
	flags := []string{"-unframed", "-gap", "30ms", "-events", "20"}
	if s.trouble {
		flags = append(flags, "-crash-part", deadly)
	}
	var closing atomic.Bool
	for i, zone := range []string{"almaty-a", "almaty-b", "almaty-a", "almaty-b", "almaty-a", "almaty-b"} {
		s.restarted(&closing, fmt.Sprintf("e-%d", i), "summary-llm", "decode", zone, flags...)
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	var running sync.WaitGroup
	var wrong atomic.Int64
	for n := 0; time.Since(began) < length; n++ {
		for k, name := range []string{"deadly", "sound", "deadly"} {
			g := gates[(n+k)%len(gates)]
			running.Go(func() {
				id := fmt.Sprintf("%s-%d-%d", name, n, k)
				c, err := dial(g.front)
				if err != nil {
					fatal(err)
				}
				defer c.conn.Close()
				header := generation(id)
				if name == "deadly" {
					header["Prompt-Prefix"] = fmt.Sprintf("5c1e07a2:800,%s:410,%x:250", deadly, id)
				}
				s.note("client sends %s to %s", id, g.name)
				a := c.exchange("POST", "/audit/"+id, id, header, []byte("summarise "+id), 14*time.Second)
				events := strings.Count(a.body, "data: ")
				s.note("client got %v, %d events", a, events)
				if a.status == 200 && a.complete && events < 20 {
					wrong.Add(1)
				}
			})
		}
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * interval)))
	}
	running.Wait()
	closing.Store(true)
	crashes, late = s.crashes(5)
	return crashes, late, int(wrong.Load())
}
