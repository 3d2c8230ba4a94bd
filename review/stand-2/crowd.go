package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["log-lines"] = logLines
}

// ordinary sends an ordinary call to a daemon four times a second until stop, a lookup and a
// call that must run once by turns, and counts the answers.
func ordinary(rec *record, to *daemon, stop <-chan struct{}, answers *tally) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
		c := call{"GET", fmt.Sprintf("/lookup/%d", i), fmt.Sprintf("o-%d", i), "", ""}
		if i%2 == 1 {
			c = call{"POST", fmt.Sprintf("/retire/%d", i), fmt.Sprintf("o-%d", i), "", strings.Repeat("hat ", 150)}
		}
		status, _, text := send(to.front, c)
		answers.add(c.method, status)
		if status != http.StatusOK {
			rec.say("ordinary %s %s: %d %s", c.method, c.id, status, text)
		}
	}
}

// tally counts answers by kind and status.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(kind string, status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[fmt.Sprintf("%s %d", kind, status)]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}

// linkShare is the share of a machine's link that the requests of the crowd take in one
// direction, and the logs in the other.
const linkShare = 0.8

// logLines: 40 clients send requests of legal size whose ids are as long as the limits allow,
// over the link of a small machine. What the process writes leaves it by that link. A process that exceeds the memory of its machine is killed and
// started again.
func logLines(rec *record) bool {
	const clients = 40
	id := "id"
	if trouble {
		// Bytes that a field value may have, and that JSON escapes.
		id = strings.Repeat("\xe9", 15<<10)
	}
	head := "GET /lookup/7 HTTP/1.1\r\nHost: hats.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1500\r\n\r\n"
	linkBytes := float64(small.link) * 1e6 / 8
	perSecond := min(linkShare*linkBytes/float64(len(head)), 400)
	s := &site{store: startStore()}
	s.store.put("op", "config", manifest(nil))
	for i := range 3 {
		startWorker(&worker{store: s.store, service: "app", zone: "kartli-a", name: fmt.Sprintf("w%d", i+1), slots: 6, rec: rec})
	}
	s.daemons = newDaemons(s.store, rec, small, []string{"kartli-a", "kartli-b"})
	for _, d := range s.daemons {
		d.logRate = linkShare * linkBytes
		d.start()
	}
	for _, d := range s.daemons {
		d.awaitReady()
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	rec.say("40 clients send %.0f requests a second with a head of %d bytes to each daemon", perSecond, len(head))
	pause := time.Duration(clients / perSecond * float64(time.Second))
	stop := make(chan struct{})
	answers, crowd := &tally{}, &tally{}
	var most atomic.Int64
	ends := make([]atomic.Int64, len(s.daemons))
	var watching sync.WaitGroup
	for k, d := range s.daemons {
		go ordinary(rec, d, stop, answers)
		for i := range clients {
			go func() {
				time.Sleep(pause * time.Duration(i) / clients)
				for {
					if conn, err := net.DialTimeout("tcp", d.front, time.Second); err == nil {
						answersOf(conn, head, pause, stop, crowd)
						conn.Close()
					}
					select {
					case <-stop:
						return
					case <-time.After(pause):
					}
				}
			}()
		}
		watching.Go(func() {
			for began := time.Now(); time.Since(began) < 95*time.Second && ends[k].Load() < 3; time.Sleep(time.Second) {
				m := d.memory()
				most.Store(max(most.Load(), m))
				rec.say("%s: memory %d MB; log read so far %.1f MB; crowd %v; ordinary %v", d.name, m/1000000, float64(d.logged.Load())/1e6, crowd, answers)
				if m <= small.memory*1000000 {
					continue
				}
				ends[k].Add(1)
				rec.say("%s exceeds the %d MB of its machine, and is killed as the platform does (%d)", d.name, small.memory, ends[k].Load())
				d.kill()
				time.Sleep(500 * time.Millisecond)
				d.start()
			}
		})
	}
	watching.Wait()
	close(stop)
	rec.say("most memory %d MB of %d MB; ends for memory: %d and %d, three on two machines are a fault", most.Load()/1000000, small.memory, ends[0].Load(), ends[1].Load())
	return ends[0].Load() >= 3 && ends[1].Load() >= 3
}

// answersOf sends a request again and again on a channel and reads the answers.
func answersOf(conn net.Conn, head string, pause time.Duration, stop <-chan struct{}, crowd *tally) {
	r := bufio.NewReader(conn)
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return
		}
		crowd.add("GET", resp.StatusCode)
	}
}
