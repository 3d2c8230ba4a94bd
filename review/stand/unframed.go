package main

import (
	"fmt"
	"strings"
	"sync"
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
	s.server("d-2", "summary-llm", "decode", "almaty-b", 12, flags...)
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
	if bad > 0 {
		s.finish(1, "ORDER broken: "+text)
	}
	if !s.trouble && good < streams {
		s.finish(2, "not all streams were complete without trouble: "+text)
	}
	s.finish(0, "held: "+text)
}
