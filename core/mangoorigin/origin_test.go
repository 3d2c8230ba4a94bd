package mangoorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// TestStreamResumesAfterAKillOfAll guards against a stream that continues at another build,
// or is refused, since all daemons that knew its build were killed.
func TestStreamResumesAfterAKillOfAll(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a", "b")
		w.start(3)
		w.begin(0, "x", "a")
		w.begin(1, "y", "b")
		time.Sleep(500 * time.Millisecond)
		for range 2 {
			w.killAll()
			w.start(3)
			w.expect(2, "x", "a")
			w.expect(0, "y", "b")
		}
	})
}

// TestOneBuildNeedsNoRecord guards against calls to the store for streams while one build
// alone serves, and against streams that cannot be resumed for want of these.
func TestOneBuildNeedsNoRecord(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		w.start(3, WithFirstStart(true))
		for i := range 100 {
			w.begin(i%3, mangomodel.RequestID(fmt.Sprint(i)), "a")
		}
		w.expect(1, "0", "a")
		w.expect(1, "", "a")
		time.Sleep(time.Minute)
		w.expect(2, "elsewhere", "a")
		w.killAll()
		w.start(1)
		w.expect(0, "0", "a")
		w.Expect(w.table.count(&w.table.streamReads) + w.table.count(&w.table.streamWrites)).To(gomega.BeZero())
		w.Expect(w.table.count(&w.table.buildWrites)).To(gomega.Equal(1))
	})
}

// TestSecondBuildSavesTheStreamsBeforeIt guards against streams that cannot be resumed
// elsewhere, since they began before a second build was there and were not saved.
func TestSecondBuildSavesTheStreamsBeforeIt(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		w.start(2, WithFirstStart(true))
		w.begin(0, "early", "a")
		time.Sleep(window)
		w.begin(0, "x", "a")
		w.expect(1, "resumed", "a")
		time.Sleep(time.Second)
		w.serve("a", "b")
		time.Sleep(500 * time.Millisecond)
		w.expect(1, "x", "a")
		w.expect(0, "resumed", "a")
		w.expectRefused(1, "early", "no record", rowWait+latency)
		w.killAll()
		w.serve("b")
		w.start(1)
		w.expect(0, "x", "a")
		w.expect(0, "resumed", "a")
	})
}

// TestEndedBuildIsRemembered guards against a stream that continues at another build, since
// the one that began it has left.
func TestEndedBuildIsRemembered(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		w.start(2, WithFirstStart(true))
		time.Sleep(time.Second)
		w.serve("b")
		time.Sleep(3 * time.Second)
		w.expectRefused(0, "x", "no record", rowWait+latency)
		w.expectRefused(0, "", "does not name", 0)
		w.killAll()
		w.start(2)
		w.expectRefused(0, "x", "no record", rowWait+latency)
		time.Sleep(window)
		w.expect(0, "x", "b")
	})
}

// TestBuildThatWasThereForAMomentIsRemembered guards against a stream of such a build that
// continues at the other one after a kill of all daemons.
func TestBuildThatWasThereForAMomentIsRemembered(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		w.start(3, WithFirstStart(true))
		time.Sleep(5 * time.Second)
		w.serve("a", "b")
		w.serve("a")
		time.Sleep(3 * time.Second)
		w.killAll()
		w.start(1)
		w.expectRefused(0, "x", "no record", rowWait+latency)
	})
}

// TestLongStreamsAreRememberedForLonger guards against a stream that continues at another
// build, since it lasts for longer than those of other services.
func TestLongStreamsAreRememberedForLonger(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a")
		w.start(1, WithFirstStart(true))
		const timeout = 5 * time.Minute
		w.install(timeout)
		w.serve("b")
		time.Sleep(timeout)
		w.expectRefused(0, "x", "no record", rowWait+latency)
		time.Sleep(margin)
		w.expect(0, "x", "b")
	})
}

// The daemon starts without the configuration, and another build appears before it is there.
func TestEndedBuildIsKeptUntilTheRoutesAreKnown(t *testing.T) {
	for _, changed := range []bool{false, true} {
		withWorld(t, func(w *world) {
			w.serve("a")
			w.start(1, WithFirstStart(true))
			w.install(10 * time.Minute)
			w.serve("b")
			time.Sleep(5 * time.Minute)
			w.killAll()
			w.start(1)
			if changed {
				w.serve("b", "c")
			}
			time.Sleep(5 * time.Second)
			w.install(10 * time.Minute)
			w.expectRefused(0, "x", "no record", rowWait+latency)
			w.Expect(w.table.saved()).To(gomega.ContainElement(mangomodel.Build("a")))
		})
	}
}

// TestStreamOfTwoBuildsIsRefused guards against a stream that continues at one of two
// builds, either of which may have sent its first event.
func TestStreamOfTwoBuildsIsRefused(t *testing.T) {
	withWorld(t, func(w *world) {
		w.serve("a", "b")
		w.start(2)
		w.begin(0, "x", "a")
		time.Sleep(500 * time.Millisecond)
		w.expect(1, "x", "a")
		w.begin(0, "x", "b")
		w.begin(0, "x", "a")
		w.expectRefused(0, "x", "restarted", 0)
		time.Sleep(500 * time.Millisecond)
		w.killAll()
		w.start(1)
		w.expectRefused(0, "x", "restarted", time.Second)
	})
}

// TestDoubtedStreamIsRefused guards against a stream that continues at the build that was
// listed for its server, although the server had restarted before the stream.
func TestDoubtedStreamIsRefused(t *testing.T) {
	const reason = "restarted with another build"
	withWorld(t, func(w *world) {
		w.serve("a")
		w.start(2, WithFirstStart(true))
		w.begin(0, "x", "a")
		w.begin(0, "sound", "a")
		w.daemons[0].origins.Doubt(mangotraffic.StreamID{Service: llm, Request: "x"})
		w.expectRefused(0, "x", reason, 0)
		w.serve("a", "b")
		time.Sleep(time.Second)
		w.begin(0, "y", "a")
		time.Sleep(time.Second)
		w.daemons[0].origins.Doubt(mangotraffic.StreamID{Service: llm, Request: "y"})
		time.Sleep(time.Second)
		w.killAll()
		w.start(1)
		w.expectRefused(0, "x", reason, rowWait+latency)
		w.expectRefused(0, "y", reason, rowWait+latency)
		w.expect(0, "sound", "a")
	})
}
