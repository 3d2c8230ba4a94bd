package mangoorigin

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// More streams begin than the daemon may write.
func TestLatestStreamsAreSavedFirstByADaemonThatIsBehind(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a", "b")
		w.start(1, WithFirstStart(true))
		time.Sleep(time.Second)
		const streams = 3000
		for i := range streams {
			w.begin(0, streamOf(i).Request, "a")
			time.Sleep(time.Millisecond)
		}
		time.Sleep(minInterval + saveDelay + latency)
		w.table.change(func() {
			w.Expect(w.table.streams).To(gomega.HaveKey(keyOf(streamOf(streams - 1))))
			w.Expect(len(w.table.streams)).To(gomega.BeNumerically("<", streams))
		})
		time.Sleep(5 * time.Second)
		w.Expect(w.table.size()).To(gomega.Equal(streams))
	})
}

// Streams that are no longer remembered stay in the queue of a daemon that is behind.
func TestQueueOfADaemonThatIsBehindIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMemory()
	m.setMixed(llm, true)
	for i := range 5 * maxStreams {
		m.begin(streamOf(i), "a", time.Now())
	}
	g.Expect(len(m.queue)).To(gomega.BeNumerically("<=", 2*maxStreams))
	b := m.take(1, time.Time{})
	g.Expect(b.write).To(gomega.HaveLen(1))
	g.Expect(b.write[0].stream).To(gomega.Equal(streamOf(5*maxStreams - 1)))
}
