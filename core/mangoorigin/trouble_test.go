package mangoorigin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// TestUnknownHistoryIsNotGuessed guards against a stream that continues at the only build
// listed, while an earlier one is not known of.
func TestUnknownHistoryIsNotGuessed(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("b")
		w.start(2)
		w.expectRefused(0, "x", "no record", rowWait+latency)
		w.begin(0, "y", "b")
		time.Sleep(500 * time.Millisecond)
		w.expect(1, "y", "b")
		time.Sleep(20 * time.Second)
		w.killAll()
		w.start(2)
		w.expectRefused(0, "x", "no record", rowWait+latency)
		time.Sleep(window)
		w.expect(0, "x", "b")
		time.Sleep(5 * time.Second)
		w.killAll()
		w.start(1)
		w.expect(0, "x", "b")
	})
}

// TestDrillThatLosesTheHistory guards against a stream that continues at another build, since
// the store has lost the history that names it and all daemons are killed then.
func TestDrillThatLosesTheHistory(t *testing.T) {
	for _, surviving := range []time.Duration{0, 3 * time.Second} {
		withWorld(t, func(w *world) {
			w.serve("a")
			empty := w.table.copy()
			w.start(3, WithFirstStart(true))
			time.Sleep(5 * time.Second)
			w.Expect(w.table.saved()).To(gomega.ConsistOf(mangomodel.Build("a")))
			empty()
			time.Sleep(surviving)
			w.killAll()
			w.serve("b")
			w.start(2)
			w.expectRefused(0, "x", "no record", rowWait+latency)
			if surviving > 0 {
				w.Expect(w.table.saved()).To(gomega.ContainElement(mangomodel.Build("a")))
			}
		})
	}
}

// TestHistoryThatIsWrittenAgainIsRead guards against a daemon that refuses all streams for
// long, since it started after a drill and before another one had written the history again.
func TestHistoryThatIsWrittenAgainIsRead(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		empty := w.table.copy()
		w.start(1, WithFirstStart(true))
		time.Sleep(5 * time.Second)
		empty()
		w.start(1)
		w.expectRefused(1, "x", "no record", rowWait+latency)
		time.Sleep(againDelay + againSpread + time.Second)
		w.expect(1, "x", "a")
	})
}

// TestAnswerOfAnEarlierEraIsLate guards against a history that is taken for the current one,
// since the answer was delayed until the store had come back from an older copy.
func TestAnswerOfAnEarlierEraIsLate(t *testing.T) {
	withWorld(t, func(w *world) {
		w.table.era, w.table.delayed = 2, true
		w.serve("a")
		w.start(1, WithFirstStart(true))
		w.expectRefused(0, "x", "no record", readyWait+rowWait+latency)
		w.table.change(func() { w.table.delayed = false })
		time.Sleep(maxBackoff)
		w.expect(0, "x", "a")
	})
}

// TestDrillThatLosesStreams guards against streams that are refused after a kill of all
// daemons, since the store has lost their rows shortly before.
func TestDrillThatLosesStreams(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a", "b")
		w.start(2, WithFirstStart(true))
		time.Sleep(3 * time.Second)
		w.begin(0, "early", "a")
		time.Sleep(time.Second)
		older := w.table.copy()
		w.begin(0, "x", "a")
		w.begin(1, "y", "b")
		time.Sleep(2 * time.Second)
		older()
		time.Sleep(2 * time.Second)
		w.killAll()
		w.start(1)
		w.expect(0, "early", "a")
		w.expect(0, "x", "a")
		w.expect(0, "y", "b")
	})
}

// TestLostAnswerLosesNoStream guards against a stream that is not saved, since the answer to
// its write was lost, or the store was away when it began.
func TestLostAnswerLosesNoStream(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a", "b")
		w.start(2, WithFirstStart(true))
		time.Sleep(3 * time.Second)
		w.table.change(func() { w.table.loseAnswers = 1 })
		w.begin(0, "x", "a")
		time.Sleep(time.Second)
		w.Expect(w.table.count(&w.table.streamWrites)).To(gomega.Equal(2))
		w.table.change(func() { w.table.down = true })
		w.begin(0, "y", "b")
		time.Sleep(10 * time.Second)
		w.expectRefused(1, "y", "down", rowWait+latency)
		w.expect(0, "y", "b")
		w.table.change(func() { w.table.down = false })
		time.Sleep(maxBackoff + time.Second)
		w.killAll()
		w.start(1)
		w.expect(0, "x", "a")
		w.expect(0, "y", "b")
		w.Expect(w.observer.events["lost"]).To(gomega.Equal(2))
		w.Expect(w.observer.events["regained"]).To(gomega.Equal(2))
	})
}

// TestAbsentRowIsAwaited guards against a stream that is refused, though the daemon at which
// it began was about to write its row, and against a client that waits for longer.
func TestAbsentRowIsAwaited(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a", "b")
		w.start(2, WithFirstStart(true))
		time.Sleep(3 * time.Second)
		began := time.Now()
		w.begin(0, "x", "a")
		w.expect(1, "x", "a")
		w.Expect(time.Since(began)).To(gomega.BeNumerically("<", 200*time.Millisecond))
		w.expectRefused(1, "z", "no record", rowWait+latency)
		reads := w.table.count(&w.table.streamReads)
		for range 5 {
			w.expect(1, "x", "a")
		}
		w.Expect(w.table.count(&w.table.streamReads)).To(gomega.Equal(reads), "the origin is remembered")
	})
}

// TestReadsAreLimited guards against daemons that use up the reads of the store when the
// clients of many streams resume them at once.
func TestReadsAreLimited(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a", "b")
		w.start(1, WithFirstStart(true))
		time.Sleep(3 * time.Second)
		before := w.table.count(&w.table.streamReads)
		results := make(chan string)
		for i := range 500 {
			go func() {
				_, reason := w.origin(0, mangomodel.RequestID(fmt.Sprint(i%250)))
				results <- reason
			}()
		}
		began := time.Now()
		for range 500 {
			w.Expect(<-results).NotTo(gomega.BeEmpty())
		}
		w.Expect(time.Since(began)).To(gomega.BeNumerically("<=", rowWait+latency))
		w.Expect(w.table.count(&w.table.streamReads) - before).To(gomega.BeNumerically("<=", 2*maxReads))
	})
}

// TestSameStreamIsReadOnce guards against a read for each of several calls that resume the
// same stream.
func TestSameStreamIsReadOnce(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a", "b")
		w.start(2, WithFirstStart(true))
		w.begin(0, "x", "a")
		time.Sleep(3 * time.Second)
		results := make(chan mangomodel.Build)
		for range 20 {
			go func() {
				build, _ := w.origin(1, "x")
				results <- build
			}()
		}
		for range 20 {
			w.Expect(<-results).To(gomega.Equal(mangomodel.Build("a")))
		}
		w.Expect(w.table.count(&w.table.streamReads)).To(gomega.Equal(1))
	})
}

// TestListThatIsOutOfDateNamesNoSoleBuild guards against a daemon that is cut off and takes
// up a stream at another build than one that it has not heard of, and against daemons that
// refuse all streams while the store is away.
func TestListThatIsOutOfDateNamesNoSoleBuild(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		w.start(4, WithFirstStart(true))
		time.Sleep(5 * time.Second)
		w.daemons[0].cut.Store(true)
		time.Sleep(3 * time.Second)
		w.expectRefused(0, "x", "down", rowWait+latency)
		w.expect(1, "x", "a")
		w.daemons[0].cut.Store(false)
		w.daemons[0].send(w.ctx)
		w.expect(0, "x", "a")
		w.mu.Lock()
		w.unlisted = true
		w.mu.Unlock()
		w.table.change(func() { w.table.down = true })
		time.Sleep(30 * time.Second)
		w.expect(0, "other", "a")
	})
}

// TestBuildDuringACutIsNotMissed guards against a stream that continues at another build,
// since the one that began it was there only while this daemon was cut off.
func TestBuildDuringACutIsNotMissed(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		w.start(4, WithFirstStart(true))
		time.Sleep(5 * time.Second)
		w.daemons[0].cut.Store(true)
		time.Sleep(3 * time.Second)
		w.serve("a", "b")
		time.Sleep(3 * time.Second)
		w.serve("a")
		time.Sleep(3 * time.Second)
		w.daemons[0].cut.Store(false)
		w.daemons[0].send(w.ctx)
		w.expectRefused(0, "x", "no record", 2*readyWait)
		w.expectRefused(1, "x", "no record", rowWait+latency)
		reads := w.table.count(&w.table.buildReads)
		time.Sleep(10 * time.Second)
		w.Expect(w.table.count(&w.table.buildReads)).To(gomega.Equal(reads), "the rows are read once")
	})
}

// TestFrozenDaemonNamesNoSoleBuild guards against a stream that continues at another build,
// since the one that began it was there only while this daemon's process stood still.
func TestFrozenDaemonNamesNoSoleBuild(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		w.start(1, WithFirstStart(true))
		o := w.daemons[0].origins
		_, _, current := o.sole(llm)
		w.Expect(current).To(gomega.BeTrue())
		before := *o.published.Load()
		before.at = before.at.Add(-3 * time.Second)
		o.published.Store(&before)
		_, _, current = o.sole(llm)
		w.Expect(current).To(gomega.BeFalse(), "what is known was published before")

		c := newController(o)
		c.observe(time.Now())
		c.builds.read, c.unread = true, nil
		c.scanned = c.scanned.Add(-3 * time.Second)
		c.observe(time.Now())
		c.publish(time.Now())
		w.Expect(o.published.Load().behind).To(gomega.BeTrue(), "the list was looked at before")
	})
}

// TestOldRowsAreRemoved guards against rows that stay for ever, those of killed daemons too.
func TestOldRowsAreRemoved(t *testing.T) {
	for _, killed := range []bool{false, true} {
		withWorld(t, func(w *world) {
			w.serve("a", "b")
			w.start(1, WithFirstStart(true))
			for i := range 250 {
				w.begin(0, mangomodel.RequestID(fmt.Sprint(i)), "a")
			}
			time.Sleep(2 * time.Second)
			w.Expect(w.table.size()).To(gomega.Equal(250))
			if killed {
				w.killAll()
				w.start(1)
			}
			time.Sleep(window - 5*time.Second)
			w.Expect(w.table.size()).To(gomega.Equal(250))
			if time.Sleep(10 * time.Second); killed {
				time.Sleep(sweepSpread)
			}
			w.Expect(w.table.size()).To(gomega.BeZero(), "killed: %v", killed)
			w.Expect(w.table.largest).To(gomega.BeNumerically("<=", maxBatch))
		})
	}
}

// TestWritesAreFew guards against a fleet that uses up the writes of the store.
func TestWritesAreFew(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a", "b")
		w.start(1, WithFirstStart(true))
		time.Sleep(3 * time.Second)
		before := w.table.count(&w.table.streamWrites)
		for i := range 1000 {
			w.begin(0, mangomodel.RequestID(fmt.Sprint(i)), "a")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		w.Expect(w.table.size()).To(gomega.Equal(1000))
		w.Expect(w.table.count(&w.table.streamWrites) - before).To(gomega.BeNumerically("<=", 11*5+1))
		w.Expect(interval(410)).To(gomega.BeNumerically(">=", 4*time.Second))
	})
}

// TestLatestStreamsAreSavedFirst guards against streams that cannot be resumed when a second
// build appears, since all those that have ended are saved before them.
func TestLatestStreamsAreSavedFirst(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		w.start(2, WithFirstStart(true))
		time.Sleep(3 * time.Second)
		for i := range 1000 {
			w.begin(0, mangomodel.RequestID(fmt.Sprint(i)), "a")
			time.Sleep(time.Millisecond)
		}
		w.serve("a", "b")
		w.begin(0, "new", "b")
		w.expect(1, "999", "a")
		w.expect(1, "new", "b")
		w.Expect(w.table.size()).To(gomega.BeNumerically("<", 500))
	})
}

// TestWritesOfSeveralDaemonsLoseNoBuild guards against a daemon that replaces the history
// that another one has written.
func TestWritesOfSeveralDaemonsLoseNoBuild(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		w.start(5, WithFirstStart(true))
		for i := range 5 {
			w.begin(i, "x", mangomodel.Build(fmt.Sprint(i)))
		}
		time.Sleep(10 * time.Second)
		w.Expect(w.table.saved()).To(gomega.ConsistOf([]mangomodel.Build{"a", "0", "1", "2", "3", "4"}))
		reads, tries := w.table.count(&w.table.buildReads), w.table.count(&w.table.buildTries)
		time.Sleep(time.Minute)
		w.Expect([]int{w.table.count(&w.table.buildReads), w.table.count(&w.table.buildTries)}).To(gomega.Equal([]int{reads, tries}), "nothing is left to be written")
	})
}

// TestHistoryIsWrittenAfterAConflict guards against a build that is not saved, since another
// daemon has changed the row between the read and the write.
func TestHistoryIsWrittenAfterAConflict(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		w.start(1, WithFirstStart(true))
		time.Sleep(5 * time.Second)
		w.table.change(func() {
			w.table.interfere = func() {
				row := w.table.builds[llm]
				w.table.version++
				row.Version, row.Builds = w.table.version, append(slices.Clone(row.Builds), Presence{Build: "z"})
				w.table.builds[llm] = row
			}
		})
		w.serve("a", "b")
		time.Sleep(5 * time.Second)
		w.Expect(w.table.saved()).To(gomega.ConsistOf(mangomodel.Build("a"), mangomodel.Build("b"), mangomodel.Build("z")))
	})
}

// TestStartWhileTheStoreIsAway guards against a daemon that waits for long, or guesses, while
// it cannot read the histories.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		w.table.change(func() { w.table.down = true })
		w.start(1, WithFirstStart(true))
		w.begin(0, "y", "a")
		w.expect(0, "y", "a")
		w.expectRefused(0, "x", "down", readyWait+rowWait+latency)
		time.Sleep(firstStartWindow)
		w.table.change(func() { w.table.down = false })
		time.Sleep(maxBackoff + time.Second)
		w.expectRefused(0, "x", "no record", rowWait+latency)
		w.killAll()
		w.start(1)
		w.expect(0, "y", "a")
	})
}

// TestStreamWithoutANameIsNotRecorded guards against a stream that continues at the build of
// another one, neither of which the client has named.
func TestStreamWithoutANameIsNotRecorded(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a", "b")
		w.start(1, WithFirstStart(true))
		w.begin(0, "", "a")
		w.expectRefused(0, "", "does not name", 0)
		time.Sleep(time.Second)
		w.Expect(w.table.size()).To(gomega.BeZero())
	})
}
