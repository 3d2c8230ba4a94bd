package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// drainCase cuts the one machine that follows the store off from it for a moment, in
// which the entry of a server that leaves is removed.
func drainCase(s *site) {
	const (
		drain  = 2500 * time.Millisecond
		cutFor = 700 * time.Millisecond
		rounds = 4
	)
	s.configure(1)
	for i := range 5 {
		s.server(fmt.Sprintf("app-%d", i), "expiry-app", "", "almaty-a", 6)
	}
	links := make(map[string]*link)
	gates := s.gatesOver(func(name string) string {
		links[name] = s.newLink()
		return links[name].addr
	}, "front-almaty-a-1", "front-almaty-a-2", "front-almaty-a-3")
	time.Sleep(6 * time.Second)

	var mu sync.Mutex
	sent := make(map[string]time.Time)
	via := make(map[string]string)
	var over atomic.Bool
	var running sync.WaitGroup
	for _, g := range gates {
		for u := range 3 {
			running.Go(func() {
				for n := 0; !over.Load(); n++ {
					c, err := dial(g.front)
					if err != nil {
						fatal(err)
					}
					id := fmt.Sprintf("%s-%d-%d", g.name, u, n)
					mu.Lock()
					sent[id], via[id] = time.Now(), g.name
					mu.Unlock()
					a := c.exchange("GET", "/lookup/"+id, id, nil, nil, 1500*time.Millisecond)
					if a.status != 200 {
						s.note("client got %v", a)
					}
					c.conn.Close()
					time.Sleep(60 * time.Millisecond)
				}
			})
		}
	}
	before := make(map[string]int)
	for name, k := range links {
		before[name] = k.count()
	}
	time.Sleep(2 * time.Second)
	type leave struct {
		server string
		acked  time.Time
	}
	var leaves []leave
	cutOff := make(map[string]bool)
	for r := range rounds {
		// The machine that follows the store is the one that polls it.
		follower, most := "", 0
		for name, k := range links {
			if n := k.count() - before[name]; n > most {
				follower, most = name, n
			}
			before[name] = k.count()
		}
		cutOff[follower] = true
		s.note("round %d: %s follows the store", r, follower)
		if s.trouble {
			s.note("cut %s off from the store", follower)
			links[follower].setCut(true)
		}
		time.Sleep(50 * time.Millisecond)
		id := fmt.Sprintf("app-%d", r)
		s.store.drop("servers", id)
		leaves = append(leaves, leave{id, time.Now()})
		s.note("the store has acknowledged that %s is gone; it goes on serving", id)
		time.Sleep(cutFor - 50*time.Millisecond)
		if s.trouble {
			links[follower].setCut(false)
			s.note("the cut has ended")
		}
		time.Sleep(6 * time.Second)
	}
	over.Store(true)
	running.Wait()
	late := 0
	for _, line := range s.serverRuns() {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] != "runs" {
			continue
		}
		at, err := time.ParseInLocation("2006-01-02 15:04:05.000", time.Now().Format("2006-01-02 ")+fields[0], time.Local)
		if err != nil {
			fatal(err)
		}
		id := strings.TrimSuffix(fields[4], ",")
		for _, l := range leaves {
			if l.server != fields[2] || at.Sub(l.acked) <= drain {
				continue
			}
			s.note("%s ran %s %v after its leaving was acknowledged, from %s (cut off before: %t)", l.server, id, at.Sub(l.acked).Round(time.Millisecond), via[id], cutOff[via[id]])
			if !cutOff[via[id]] {
				late++
			}
		}
	}
	text := fmt.Sprintf("%d requests reached servers later than drain-ms after their leaving was acknowledged, from machines that were never cut off", late)
	if late > 0 {
		s.finish(1, "DRAIN broken: "+text)
	}
	s.finish(0, "held: "+text)
}
