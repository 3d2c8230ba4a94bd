package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rss returns the anonymous resident memory of a process in bytes.
func rss(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb * 1024
		}
	}
	return 0
}

// memoryCase lets many users come at once, with bodies within the limits of the
// manifest. The platform kills a process that exceeds its memory.
func memoryCase(s *site) {
	const users, size = 40, 4_000_000
	s.configure(1)
	for i, zone := range []string{"almaty-a", "almaty-b"} {
		s.server(fmt.Sprintf("p-%d", i), "summary-llm", "prefill", zone, 12)
		for k := range 3 {
			s.server(fmt.Sprintf("d-%d-%d", i, k), "summary-llm", "decode", zone, 12, "-gap", "60ms", "-events", "50")
		}
	}
	gates := s.gates("front-almaty-a-1", "front-almaty-a-2")
	time.Sleep(2 * time.Second)
	g := gates[0]
	var peak atomic.Int64
	var kills atomic.Int64
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			n := int64(rss(g.pid()))
			if n > peak.Load() {
				peak.Store(n)
			}
			if n > memoryLimit {
				s.note("platform: %s has %d bytes, over memory-mb; it is killed", g.name, n)
				kills.Add(1)
				g.signal(syscall.SIGKILL)
				return
			}
		}
	}()
	channels := make([]*channel, users)
	for i := range channels {
		c, err := dial(g.front)
		if err != nil {
			fatal(err)
		}
		id := fmt.Sprintf("first-%d", i)
		if a := c.exchange("GET", "/lookup/"+id, id, nil, nil, 1500*time.Millisecond); a.status == 0 {
			s.note("first request: %v", a)
		}
		channels[i] = c
	}
	answers := make([]answer, users)
	var running sync.WaitGroup
	body := []byte(strings.Repeat("x", size))
	for i := range users {
		send := func() {
			id := fmt.Sprintf("big-%d", i)
			s.note("client sends %s, %d bytes, on a kept channel", id, size)
			answers[i] = channels[i].exchange("POST", "/audit/"+id, id, generation(id), body, 14*time.Second)
		}
		if s.trouble {
			time.Sleep(25 * time.Millisecond)
			running.Go(send)
		} else {
			running.Go(send)
			if i%8 == 7 {
				running.Wait()
			}
		}
	}
	running.Wait()
	passed := make(map[string]bool)
	for _, line := range s.serverRuns() {
		if _, rest, ok := strings.Cut(line, " runs "); ok {
			id, _, _ := strings.Cut(rest, ",")
			passed[id] = true
		}
	}
	lost := 0
	for _, a := range answers {
		s.note("client got %v; passed on: %t", a, passed[a.id])
		if a.err != nil && passed[a.id] {
			lost++
		}
	}
	text := fmt.Sprintf("%d requests were passed on and their kept channels closed without a whole answer; %d kills for memory; peak %d bytes", lost, kills.Load(), peak.Load())
	if lost > 3 {
		s.finish(1, "LOST broken: "+text)
	}
	s.finish(0, "held: "+text)
}
