package mangolog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queuedLines is how many lines may wait for a slow reader. At about 300
	// bytes a line they take a megabyte and a half.
	queuedLines = 4096
	// dropInterval is how often dropped lines are reported.
	dropInterval = time.Second
)

// writer queues lines for a goroutine that writes them.
type writer struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	out     io.Writer
}

func newWriter(out io.Writer, perSecond int) *writer {
	w := &writer{
		lines: make(chan []byte, queuedLines), out: out,
		limit: rate.NewLimiter(rate.Limit(perSecond), perSecond),
	}
	go w.run()
	return w
}

// Write queues a line, or drops it.
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

// Sync gives the goroutine a moment to write what is queued.
func (w *writer) Sync() error {
	const syncTime, step = 200 * time.Millisecond, 5 * time.Millisecond
	for waited := time.Duration(0); len(w.lines) > 0 && waited < syncTime; waited += step {
		time.Sleep(step)
	}
	return nil
}

// run writes the lines. An error of the destination loses the line, since
// there is nowhere to report it.
func (w *writer) run() {
	last := time.Now()
	for line := range w.lines {
		_, _ = w.out.Write(line)
		if time.Since(last) < dropInterval {
			continue
		}
		last = time.Now()
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.out, "{\"Level\":\"warn\",\"Time\":%q,\"Message\":\"log lines dropped\",\"Lines\":%d}\n",
				last.Format(time.RFC3339Nano), n)
		}
	}
}
