package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["poison-caller"] = poisonCaller
	cases["poison-restart"] = poisonRestart
}

// contactTime is contact-ms.
const contactTime = 4 * time.Second

// crashes counts the poisonous requests that workers begin to run.
type crashes struct {
	mu    sync.Mutex
	rec   *record
	third time.Time
	n     int
	// late are the retries that were sent later than contactTime after the third crash by a
	// machine in touch and reached a worker. One that reached two workers counts once.
	late map[string]bool
	// sent says when the request with an id was sent, and whether its machine was in touch.
	sent map[string]sending
}

type sending struct {
	at      time.Time
	inTouch bool
}

func newCrashes(rec *record) *crashes {
	return &crashes{rec: rec, late: map[string]bool{}, sent: map[string]sending{}}
}

func (c *crashes) sending(id string, to *daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = sending{time.Now(), to.ranFor() > contactTime}
}

func (c *crashes) crashed(worker, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	s := c.sent[id]
	if !c.third.IsZero() && s.inTouch && s.at.Sub(c.third) > contactTime {
		c.late[id] = true
	}
	if c.n == 3 {
		c.third = time.Now()
	}
	c.rec.say("%s: runs the poisonous request %s and crashes (crash %d, machine in touch: %v, late retries %d)", worker, id, c.n, s.inTouch, len(c.late))
}

// broken reports whether the request reached workers in more than three retries.
func (c *crashes) broken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.say("%d crashes; %d retries that were sent later than contact-ms after the third reached workers, three are allowed", c.n, len(c.late))
	return len(c.late) > 3
}

// site is a store with workers and daemons.
type site struct {
	store   *store
	daemons []*daemon
}

func startSite(rec *record, tenants []map[string]any, daemons, workers int, poisonous func(*http.Request) bool, ran func(string, *http.Request, bool)) *site {
	zones := []string{"almaty-a", "almaty-b", "astana-a"}
	s := &site{store: startStore()}
	s.store.put("op", "config", manifest(tenants))
	for i := range workers {
		startWorker(&worker{
			store: s.store, service: "app", zone: zones[i%len(zones)], name: fmt.Sprintf("w%d", i+1), slots: 6, rec: rec,
			poisonous: poisonous, ran: ran,
		})
	}
	var at []string
	for i := range daemons {
		at = append(at, zones[i%len(zones)])
	}
	s.daemons = newDaemons(s.store, rec, usual, at)
	for _, d := range s.daemons {
		d.start()
	}
	for _, d := range s.daemons {
		d.awaitReady()
	}
	// Machines are in touch contact-ms after their start.
	time.Sleep(contactTime + 500*time.Millisecond)
	return s
}

// poisonCaller: two tenants look up the same path. The request of one of them crashes each
// worker that begins to run it, that of the other does not.
func poisonCaller(rec *record) bool {
	const path = "/lookup/7"
	c := newCrashes(rec)
	poisonous := func(r *http.Request) bool {
		return trouble && r.URL.Path == path && r.Header.Get("Tenant") == "south"
	}
	s := startSite(rec, []map[string]any{
		{"name": "north", "api-keys": []string{"north-key"}},
		{"name": "south", "api-keys": []string{"south-key"}},
	}, 3, 6, poisonous, func(worker string, r *http.Request, poison bool) {
		if poison {
			c.crashed(worker, r.Header.Get("Request-Id"))
		}
	})
	stop := time.Now().Add(60 * time.Second)
	var running sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	note := func(who string, status int) {
		mu.Lock()
		defer mu.Unlock()
		answers[fmt.Sprintf("%s %d", who, status)]++
	}
	// The sound tenant: four requests a second of the same path, and fifty that must run once.
	running.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			to := s.daemons[i%len(s.daemons)]
			id := fmt.Sprintf("north-%d", i)
			status, _, text := send(to.front, call{"GET", path, id, "north-key", ""})
			note("north GET", status)
			if status != http.StatusOK {
				rec.say("%s GET %s at %s: %d %s", id, path, to.name, status, text)
			}
			time.Sleep(250 * time.Millisecond)
		}
	})
	running.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			running.Go(func() {
				to := s.daemons[i%len(s.daemons)]
				id := fmt.Sprintf("north-post-%d", i)
				status, _, text := send(to.front, call{"POST", fmt.Sprintf("/retire/%d", i), id, "north-key", "hat"})
				note("north POST", status)
				if status != http.StatusOK {
					rec.say("%s POST at %s: %d %s", id, to.name, status, text)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
	})
	// The other tenant asks every two seconds, at any machine.
	running.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			to := s.daemons[i%len(s.daemons)]
			id := fmt.Sprintf("south-%d", i)
			c.sending(id, to)
			status, _, text := send(to.front, call{"GET", path, id, "south-key", ""})
			note("south GET", status)
			rec.say("%s GET %s at %s: %d %s", id, path, to.name, status, text)
			time.Sleep(2 * time.Second)
		}
	})
	running.Wait()
	rec.say("answers: %v", answers)
	return c.broken()
}

// poisonRestart: a request that must run once crashes each worker that begins to run it, and
// comes again every six seconds. All daemons are killed at the same moment.
func poisonRestart(rec *record) bool {
	c := newCrashes(rec)
	s := startSite(rec, nil, 3, 6, func(r *http.Request) bool { return r.URL.Path == "/retire/7" }, func(worker string, r *http.Request, poison bool) {
		if poison {
			c.crashed(worker, r.Header.Get("Request-Id"))
		}
	})
	began := time.Now()
	killed := false
	for i := 0; time.Since(began) < 100*time.Second; i++ {
		if !killed && time.Since(began) > 38*time.Second {
			killed = true
			if trouble {
				var all sync.WaitGroup
				for _, d := range s.daemons {
					all.Go(d.kill)
				}
				all.Wait()
				time.Sleep(500 * time.Millisecond)
				for _, d := range s.daemons {
					d.start()
				}
				for _, d := range s.daemons {
					d.awaitReady()
				}
				time.Sleep(contactTime)
			}
		}
		to := s.daemons[i%len(s.daemons)]
		id := fmt.Sprintf("p-%d", i)
		c.sending(id, to)
		status, header, text := send(to.front, call{"POST", "/retire/7", id, "", "hat 7"})
		rec.say("%s POST /retire/7 at %s: %d Retry-After %q %s", id, to.name, status, header.Get("Retry-After"), text)
		time.Sleep(6 * time.Second)
	}
	return c.broken()
}
