package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["read-ahead-stop"] = readAheadStop }

// lookup returns the text of a request.
func lookup(path, id string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: hats.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 14000\r\n\r\n"
}

// slowSite is a site whose routes allow requests that take seconds.
func slowSite(rec *record) *site {
	s := &site{store: startStore()}
	m := manifest(nil)
	for _, r := range m["routes"].([]map[string]any) {
		r["timeout-ms"] = 14000
	}
	s.store.put("op", "config", m)
	for i := range 3 {
		startWorker(&worker{store: s.store, service: "app", zone: "almaty-a", name: fmt.Sprintf("w%d", i+1), slots: 20, rec: rec})
	}
	s.daemons = newDaemons(s.store, rec, usual, []string{"almaty-a", "almaty-b"})
	for _, d := range s.daemons {
		d.start()
	}
	for _, d := range s.daemons {
		d.awaitReady()
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	return s
}

// readAheadStop: clients send two lookups in one write on a channel and wait for both
// answers. The daemon is stopped while the first one is at its worker.
func readAheadStop(rec *record) bool {
	const clients = 10
	s := slowSite(rec)
	d := s.daemons[0]
	var running sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range clients {
		running.Go(func() {
			conn, err := net.DialTimeout("tcp", d.front, time.Second)
			if err != nil {
				cannot("dial: %v", err)
			}
			defer conn.Close()
			first, second := fmt.Sprintf("a-%d", i), fmt.Sprintf("b-%d", i)
			_, _ = io.WriteString(conn, lookup("/lookup/slow-4000", first)+lookup("/lookup/1", second))
			sent := time.Now()
			rec.say("%s and %s: sent to %s", first, second, d.name)
			r := bufio.NewReader(conn)
			for _, id := range []string{first, second} {
				_ = conn.SetReadDeadline(time.Now().Add(14 * time.Second))
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					rec.say("%s: no answer, the channel ends %v after its last byte was sent: %v", id, time.Since(sent).Round(time.Millisecond), err)
					mu.Lock()
					lost++
					mu.Unlock()
					return
				}
				body, _ := io.ReadAll(resp.Body)
				rec.say("%s: %d, Connection %q, %s", id, resp.StatusCode, resp.Header.Get("Connection"), body)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		rec.say("%s: SIGTERM", d.name)
		_ = d.cmd.Process.Signal(syscall.SIGTERM)
	}
	running.Wait()
	rec.say("%d of %d clients have no answer to their second request", lost, clients)
	return lost > 0
}
