package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a backend server. It runs as a process of its own, so that a
// case can kill it.
type worker struct {
	id, stage string
	slots     int64
	work, gap time.Duration
	events    int
	unframed  bool
	crashOn   string
	crashPart string
	running   atomic.Int64
	handles   atomic.Int64
	mu        sync.Mutex
	log       *os.File
}

func runWorker(args []string) {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{}
	listen := f.String("listen", "", "address")
	record := f.String("record", "", "file to which each run is written")
	f.StringVar(&w.id, "id", "", "name of the server")
	f.StringVar(&w.stage, "stage", "", "prefill, decode or empty")
	f.Int64Var(&w.slots, "slots", 6, "requests at once")
	f.DurationVar(&w.work, "work", 15*time.Millisecond, "work of a plain request, and of reading a prompt")
	f.DurationVar(&w.gap, "gap", 40*time.Millisecond, "time between two events")
	f.IntVar(&w.events, "events", 50, "events of a stream")
	f.BoolVar(&w.unframed, "unframed", false, "streams have no length and end with their channel")
	f.StringVar(&w.crashOn, "crash-on", "", "a request whose path has this text crashes the server as it begins to run it")
	f.StringVar(&w.crashPart, "crash-part", "", "a part of prompts that crashes the server once it has begun to write an unframed answer on it")
	_ = f.Parse(args)
	var err error
	if w.log, err = os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
		fatal(err)
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fatal(err)
	}
	fatal(http.Serve(l, w))
}

func (w *worker) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.log, "%s server %s %s\n", stamp(), w.id, fmt.Sprintf(format, args...))
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("Instance-Id", w.id)
	switch {
	case r.URL.Path == "/healthz":
		return
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != w.id:
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/api/report":
		n := w.running.Load()
		writeJSON(rw, 200, map[string]any{"stage": w.stage, "models": []any{}, "busy": false, "sequence": 0,
			"waiting": 0, "running": n, "kv-used": n * 1500, "kv-total": 85406, "handles": 0})
		return
	case strings.HasPrefix(r.URL.Path, "/api/kv-handle/"):
		return
	case r.URL.Path == "/api/order":
		writeJSON(rw, 202, map[string]any{})
		return
	}
	w.serve(rw, r)
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v)
}

func (w *worker) refuse(rw http.ResponseWriter, status int) {
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(status)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rw.Header().Set("Request-Id", id)
	prefill := r.Header.Get("Serving-Stage") == "prefill"
	if prefill != (w.stage == "prefill") {
		w.refuse(rw, http.StatusMisdirectedRequest)
		return
	}
	if w.running.Add(1) > w.slots {
		w.running.Add(-1)
		w.refuse(rw, http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	if prefill {
		time.Sleep(w.work)
		w.note("reads the prompt of %s, body %d bytes", id, len(body))
		writeJSON(rw, 200, map[string]any{"handle": fmt.Sprintf("%s-%d-%d", w.id, time.Now().UnixNano(), w.handles.Add(1)), "tokens": 1460, "version": 1})
		return
	}
	w.note("runs %s, body %d bytes", id, len(body))
	if w.crashOn != "" && strings.Contains(r.URL.Path, w.crashOn) {
		w.note("crashes with %s", id)
		os.Exit(3)
	}
	rw.Header().Set("Server-Signature", "sig-"+w.id+"-"+id)
	if w.stage == "" {
		if !pause(r.Context(), w.work) {
			return
		}
		rw.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.slots))
		fmt.Fprintf(rw, "%x\n", sha256.Sum256(body))
		w.note("ends %s", id)
		return
	}
	w.stream(rw, r, id)
}

// pause returns false if the request is cancelled meanwhile.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// stream sends numbered events after the one that the request names.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	ctx := r.Context()
	send := func(p string) error {
		_, err := io.WriteString(rw, p)
		if err == nil {
			err = http.NewResponseController(rw).Flush()
		}
		return err
	}
	if w.unframed {
		conn, buf, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		defer cancel()
		go func() {
			_, _ = bufio.NewReader(conn).ReadByte()
			cancel()
		}()
		send = func(p string) error {
			_, err := buf.WriteString(p)
			if err == nil {
				err = buf.Flush()
			}
			return err
		}
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nRequest-Id: " + id +
			"\r\nServer-Signature: sig-" + w.id + "-" + id + "\r\n\r\n"
		if send(head) != nil {
			return
		}
		if w.crashPart != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), w.crashPart) {
			w.note("crashes with %s", id)
			os.Exit(3)
		}
	} else {
		rw.Header().Set("Content-Type", "text/event-stream")
	}
	for n := after + 1; n <= w.events; n++ {
		if !pause(ctx, w.gap) {
			w.note("stops %s, cancelled after event %d", id, n-1)
			return
		}
		if send(fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n, n, w.events)) != nil {
			w.note("stops %s, no reader after event %d", id, n-1)
			return
		}
	}
	w.note("ends %s, last event %d", id, w.events)
}
