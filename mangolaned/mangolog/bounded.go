package mangolog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLength is how many lines may wait for a slow destination. At about
	// 300 bytes per line a full queue takes a megabyte and a half.
	queueLength = 4096
	// dropReportInterval is the shortest time between two reports of dropped
	// lines.
	dropReportInterval = time.Second
)

// writer queues lines, which a goroutine writes to out.
type writer struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	out     io.Writer
}

func newWriter(out io.Writer, perSecond int) *writer {
	w := &writer{
		lines: make(chan []byte, queueLength), out: out,
		limit: rate.NewLimiter(rate.Limit(perSecond), perSecond),
	}
	go w.run()
	return w
}

// Write queues a line. It drops the line if the rate limit is exceeded or the
// queue is full.
func (w *writer) Write(p []byte) (int, error) {
	if !w.limit.Allow() {
		w.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync waits until the queue is empty, but at most 200 ms.
func (w *writer) Sync() error {
	const syncTimeout, step = 200 * time.Millisecond, 5 * time.Millisecond
	for waited := time.Duration(0); len(w.lines) > 0 && waited < syncTimeout; waited += step {
		time.Sleep(step)
	}
	return nil
}

// run writes the queued lines. After a written line, at most once per
// dropReportInterval, it reports how many were dropped; drops after the last
// written line are thus reported only once a later line is written. A line whose
// write fails is lost, since there is nowhere to report the error.
func (w *writer) run() {
	lastReport := time.Now()
	for line := range w.lines {
		_, _ = w.out.Write(line)
		if time.Since(lastReport) < dropReportInterval {
			continue
		}
		lastReport = time.Now()
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.out, "{\"Level\":\"warn\",\"Time\":%q,\"Message\":\"log lines dropped\",\"Lines\":%d}\n",
				lastReport.Format(time.RFC3339Nano), n)
		}
	}
}
