package mangoorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
)

// fill writes rows of streams to the table.
func (w *world) fill(n int) {
	w.table.change(func() {
		for i := range n {
			row := StreamRow{Stream: streamOf(i), Build: "a", At: Clock(time.Since(w.table.began))}
			w.table.streams[keyOf(row.Stream)] = StoredRow{StreamRow: row, Key: keyOf(row.Stream)}
		}
	})
}

// resume resumes streams at the first daemon at once, and returns how many go on.
func (w *world) resume(n int) int {
	results := make(chan bool)
	for i := range n {
		go func() {
			build, _ := w.origin(0, streamOf(i).Request)
			results <- build == "a"
		}()
	}
	count := 0
	for range n {
		if <-results {
			count++
		}
	}
	return count
}

// All clients come back to one daemon after a kill of all.
func TestManyResumedStreamsGoOn(t *testing.T) {
	for _, test := range []struct{ daemons, rows, streams, absent, want int }{
		{1, 200, 200, 0, 200},
		{1, 1000, 1000, 500, 1000},
		{1, 5000, 200, 0, 200},
		{410, 30, 30, 30, 30},
		{410, 400, 400, 0, 400},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			withWorld(t, func(w *world) {
				w.serve("a", "b")
				w.fill(test.rows)
				w.start(1)
				var seen mangofleet.UpdateMembers
				for i := range test.daemons - 1 {
					member := mangoroster.Member{Holder: mangomodel.Holder{Daemon: mangomodel.DaemonID(fmt.Sprint(i))}, DataCentre: "a1", Strong: true}
					seen.Sightings = append(seen.Sightings, mangoroster.Sighting{Member: member})
				}
				w.Expect(w.daemons[0].fleet.Do(w.ctx, seen)).To(gomega.Succeed())
				time.Sleep(viewInterval)
				before := w.table.count(&w.table.streamReads)
				w.Expect(w.resume(test.streams + test.absent)).To(gomega.BeNumerically(">=", test.want))
				limit := w.daemons[0].origins.reader.limit.Burst()
				w.Expect(w.table.count(&w.table.streamReads) - before).To(gomega.BeNumerically("<=", 2*limit))
			})
		})
	}
}

// The daemon at which the stream began may be about to write the row.
func TestAbsentRowIsReadThreeTimes(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a", "b")
		w.start(1)
		w.expectRefused(0, "x", "no record", rowWait)
		time.Sleep(rowWait)
		w.Expect(w.table.count(&w.table.streamReads)).To(gomega.Equal(1 + len(rowPauses)))
	})
}
