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

// memoryCase plays one machine's share of the summaries of the site, 2.9 a second, and for
// five seconds 2.3 times as many, with bodies within the limits of the manifest. The
// platform kills a process that exceeds its memory.
func memoryCase(s *site) {
	const (
		size  = 4_190_000
		calm  = 345 * time.Millisecond
		burst = 152 * time.Millisecond
		from  = 6 * time.Second
		until = 11 * time.Second
		end   = 14 * time.Second
	)
	s.configure(1)
	s.server("app-0", "expiry-app", "", "almaty-a", 6)
	for i, zone := range []string{"almaty-a", "almaty-b"} {
		s.server(fmt.Sprintf("p-%d", i), "summary-llm", "prefill", zone, 12)
		for k := range 3 {
			s.server(fmt.Sprintf("d-%d-%d", i, k), "summary-llm", "decode", zone, 12, "-gap", "110ms", "-events", "50")
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
	var answers []answer
	var mu sync.Mutex
	var running sync.WaitGroup
	body := []byte(strings.Repeat("x", size))
	began := time.Now()
	for n := 0; time.Since(began) < end && kills.Load() == 0; n++ {
		running.Go(func() {
			c, err := dial(g.front)
			if err != nil {
				s.note("no channel for big-%d: %v", n, err)
				return
			}
			defer c.conn.Close()
			first := fmt.Sprintf("first-%d", n)
			c.exchange("GET", "/lookup/"+first, first, nil, nil, 1500*time.Millisecond)
			id := fmt.Sprintf("big-%d", n)
			s.note("client sends %s, %d bytes, on a kept channel", id, size)
			a := c.exchange("POST", "/audit/"+id, id, generation(id), body, 14*time.Second)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
		pace := calm
		if at := time.Since(began); s.trouble && at >= from && at < until {
			pace = burst
		}
		time.Sleep(pace)
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
