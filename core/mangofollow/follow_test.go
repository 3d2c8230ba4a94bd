package mangofollow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobound"
	"mangolane/core/mangobudget"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

// source is a platform whose responses a test sets.
type source struct {
	mu       sync.Mutex
	revision mangomodel.Revision
	servers  map[mangomodel.ServerID]mangotraffic.Server
	// removed are the servers whose entries were removed.
	removed []mangomodel.ServerID
	cursor  mangotraffic.Cursor
	// oldestCursor is the oldest cursor whose changes are still kept.
	oldestCursor mangotraffic.Cursor
	down         bool
	// late is how long responses are under way.
	late  time.Duration
	reads int
	// panics is how many of the next reads panic.
	panics int
	// problems are the entries of the configuration that cannot be used.
	problems []mangoworkspace.Problem
}

// poll is how long a read without changes takes.
var poll = mangobound.Within(mangobound.Standard).Poll

var errDown = errors.New("down")

// sourceTimeout is how long a failing read takes in addition to its wait.
const sourceTimeout = 500 * time.Millisecond

// wait is a long poll: it returns at once if there are changes.
func (s *source) wait(ctx context.Context, after mangotraffic.Cursor, wait time.Duration) (bool, error) {
	s.mu.Lock()
	s.reads++
	down, expired, changed := s.down, !after.IsZero() && after.Before(s.oldestCursor), after.Before(s.cursor)
	panics := s.panics > 0
	s.panics--
	s.mu.Unlock()
	if panics {
		panic("malformed record")
	}
	switch {
	case down:
		sleep(ctx, wait+sourceTimeout)
		return false, errDown
	case expired:
		return false, ErrCursorExpired
	case !changed:
		sleep(ctx, wait)
	}
	return changed, nil
}

func (s *source) Routing(ctx context.Context, after mangotraffic.Cursor, w Wait) (*mangotraffic.Routing, mangotraffic.Cursor, error) {
	changed, err := s.wait(ctx, after, w.Changes)
	if err != nil || !changed {
		return nil, after, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, err := mangotraffic.NewRouting(s.revision, nil, nil, mangotraffic.Limits{}, mangotraffic.WithProblems(s.problems))
	return r, s.cursor, err
}

func (s *source) Servers(ctx context.Context, after mangotraffic.Cursor, w Wait) ([]mangotraffic.ServerChange, mangotraffic.Cursor, error) {
	changed, err := s.wait(ctx, after, w.Changes)
	if err != nil {
		return nil, after, err
	}
	s.mu.Lock()
	defer func() {
		late := s.late
		s.mu.Unlock()
		sleep(ctx, late)
	}()
	if !changed {
		return nil, after, nil
	}
	var changes []mangotraffic.ServerChange
	for id, server := range s.servers {
		changes = append(changes, mangotraffic.ServerChange{ID: id, Server: &server})
	}
	for _, id := range s.removed {
		changes = append(changes, mangotraffic.ServerChange{ID: id})
	}
	return changes, s.cursor, nil
}

// compact discards all changes so far and the next one. The caller holds the lock.
func (s *source) compact() { s.oldestCursor = mangotraffic.Cursor{Position: s.cursor.Position + 1} }

// count returns how many reads were made.
func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *source) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *source) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.cursor.Position++
}

// TestStartWaitsForOthers checks that daemons that start together do not all
// read the records: one reads, and the others wait for its messages.
func TestStartWaitsForOthers(t *testing.T) {
	preferred := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "e"}, DataCentre: "a1", Address: "e", Strong: true}
	tests := []struct {
		name  string
		seen  []mangoroster.Sighting
		reads bool
	}{{"alone", nil, true}, {"with others", []mangoroster.Sighting{{Member: preferred}}, false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start(t, func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, run func()) {
				go run()
				time.Sleep(startDelay / 2)
				g.Expect(s.count()).To(gomega.Equal(0), "messages of other daemons may still arrive")
				g.Expect(fleet.Do(context.Background(), mangofleet.UpdateMembers{Sightings: test.seen})).To(gomega.Succeed())
				time.Sleep(startDelay)
				g.Expect(s.count() > 0).To(gomega.Equal(test.reads))
				routing, err := mangotraffic.NewRouting(1, nil, nil, mangotraffic.Limits{})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(fleet.Do(context.Background(), mangofleet.InstallRouting{Routing: routing})).To(gomega.Succeed())
				time.Sleep(startDelay)
				g.Expect(s.count() > 0).To(gomega.Equal(test.reads), "the list may still arrive from others")
				time.Sleep(initialSyncWait)
				g.Expect(fleet.View().Unsynced()).To(gomega.BeFalse())
				g.Expect(fleet.View().Routing).NotTo(gomega.BeNil(), "the daemon reads the records itself when no other daemon sends them")
			})
		})
	}
}

type watcher struct {
	mangopanic.Nop
	mu             sync.Mutex
	lost, regained int
	leftOut        []string
}

func (w *watcher) PlatformLost(Record, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost++
}

func (w *watcher) PlatformRegained(Record, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.regained++
}

func (*watcher) RoutingRejected(mangomodel.Revision, mangotraffic.Cursor, error) {}

func (w *watcher) EntriesLeftOut(rev mangomodel.Revision, problems []mangoworkspace.Problem) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range problems {
		w.leftOut = append(w.leftOut, fmt.Sprintf("%d: %v", rev, p))
	}
}

func (w *watcher) counts() (int, int) { w.mu.Lock(); defer w.mu.Unlock(); return w.lost, w.regained }

func follow(t *testing.T, f func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, w *watcher)) {
	followWithin(t, mangobound.Standard, f)
}

// followWithin runs a Follower for a fleet that applies changes within a bound.
func followWithin(t *testing.T, bound time.Duration, f func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, w *watcher)) {
	w := &watcher{}
	startWith(t, w, mangobound.Within(bound), func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, run func()) {
		go run()
		time.Sleep(time.Second)
		f(g, s, fleet, w)
	})
}

func start(t *testing.T, f func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, run func())) {
	startWith(t, &watcher{}, mangobound.Within(mangobound.Standard), f)
}

// startWith runs a fleet. The run function runs a Follower for it until the test
// ends.
func startWith(t *testing.T, w *watcher, times mangobound.Times, f func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, run func())) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{revision: 1, cursor: mangotraffic.Cursor{Position: 1}, servers: map[mangomodel.ServerID]mangotraffic.Server{"s1": {ID: "s1", Service: "app"}}}
		self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "d"}, DataCentre: "a1", Strong: true}
		fleet := mangofleet.New(mangofleet.Self{Member: self}, func() mangobudget.Limits {
			return mangobudget.Limits{Window: time.Second}
		}, mangofleet.WithTimes(times))
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		go fleet.Run(ctx)
		f(gomega.NewWithT(t), s, fleet, func() { New(fleet, s, w, WithTimes(times)).Run(ctx) })
	})
}

// records is a Prerequisite that a test fulfils.
type records chan struct{}

func (r records) Await(ctx context.Context) {
	select {
	case <-r:
	case <-ctx.Done():
	}
}

// TestFirstConfigurationWaitsForThePrerequisite guards against a daemon that serves calls
// before it knows which of them crash servers.
func TestFirstConfigurationWaitsForThePrerequisite(t *testing.T) {
	start(t, func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, _ func()) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		r := make(records)
		go New(fleet, s, &watcher{}, WithPrerequisite(r)).Run(ctx)
		time.Sleep(2 * time.Second)
		g.Expect(fleet.View().Ready()).To(gomega.BeFalse())
		close(r)
		synctest.Wait()
		g.Expect(fleet.View().Ready()).To(gomega.BeTrue())
		g.Expect(time.Since(fleet.View().RoutingRead)).To(gomega.BeNumerically(">", time.Second), "the configuration was read before")
	})
}

func TestChangesAreAppliedAtOnce(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, _ *watcher) {
		g.Expect(fleet.View().Routing.Revision).To(gomega.BeEquivalentTo(1))
		g.Expect(fleet.View().Ready()).To(gomega.BeTrue())
		s.change(func() { s.revision = 2 })
		time.Sleep(2 * time.Second)
		g.Expect(fleet.View().Routing.Revision).To(gomega.BeEquivalentTo(2))
	})
}

// TestEntriesLeftOutAreReportedOnce guards against a mistake in the configuration that
// nobody is told of, or that each read of the whole record reports again.
func TestEntriesLeftOutAreReportedOnce(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, _ *mangofleet.Fleet, w *watcher) {
		s.change(func() {
			s.revision, s.problems = 2, []mangoworkspace.Problem{{Workspace: "hats", Field: "f", Value: "-1", Want: "more"}}
		})
		time.Sleep(2 * time.Second)
		s.change(func() { s.compact() })
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(w.leftOut).To(gomega.Equal([]string{`2: workspace "hats": f is -1, want more`}))
	})
}

// TestPanicCountsAsAFailedRead guards against a malformed record that ends the
// process or the goroutine that reads it.
func TestPanicCountsAsAFailedRead(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, _ *watcher) {
		s.mu.Lock()
		s.panics = 6
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		s.change(func() { s.revision = 2 })
		time.Sleep(2 * time.Second)
		g.Expect(fleet.View().Routing.Revision).To(gomega.BeEquivalentTo(2))
	})
}

func TestExpiredCursorReadsWholeRecord(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, w *watcher) {
		s.change(func() {
			s.revision = 3
			s.compact()
			s.servers = map[mangomodel.ServerID]mangotraffic.Server{"s2": {ID: "s2", Service: "app"}}
		})
		time.Sleep(2 * time.Second)
		g.Expect(fleet.View().Routing.Revision).To(gomega.BeEquivalentTo(3))
		g.Expect(fleet.View().Listed).To(gomega.HaveLen(1))
		g.Expect(fleet.View().Listed).To(gomega.HaveKey(mangomodel.ServerID("s2")))
		lost, _ := w.counts()
		g.Expect(lost).To(gomega.Equal(0), "an expired cursor is no outage")
	})
}

func TestOutageKeepsState(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, w *watcher) {
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		g.Expect(fleet.View().Ready()).To(gomega.BeTrue())
		g.Expect(fleet.View().Listed).To(gomega.HaveLen(1))
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		lost, regained := w.counts()
		g.Expect(lost).To(gomega.Equal(2), "once for each record")
		g.Expect(regained).To(gomega.Equal(2))
	})
}

// TestResponseThatLayInASuspendedHostIsNotCurrent guards against a daemon that takes an
// old list for current, and passes it on as such.
func TestResponseThatLayInASuspendedHostIsNotCurrent(t *testing.T) {
	const suspended = 3 * time.Second
	follow(t, func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, _ *watcher) {
		s.mu.Lock()
		s.late = suspended
		s.mu.Unlock()
		time.Sleep(3 * suspended)
		g.Expect(fleet.View().Stale(time.Now())).To(gomega.BeTrue())
		g.Expect(time.Since(fleet.View().ListRead)).To(gomega.BeNumerically(">=", suspended))
	})
}

// TestEntryRemovedWhileTheReaderWasAwayIsGone guards against a removed server that is
// used for longer because only this daemon could not read the list. An entry that was
// lost with the store is tolerated for a while.
func TestEntryRemovedWhileTheReaderWasAwayIsGone(t *testing.T) {
	other := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "e"}, DataCentre: "a1", Address: "e"}
	tests := []struct {
		name    string
		seen    []mangoroster.Sighting
		witness bool
		away    time.Duration
		kept    bool
	}{
		{"only the reader", []mangoroster.Sighting{{Member: other}}, false, 4 * time.Second, false},
		{"only the reader, shortly", []mangoroster.Sighting{{Member: other}}, false, 700 * time.Millisecond, false},
		{"the store", []mangoroster.Sighting{{Member: other}}, true, 4 * time.Second, true},
		{"the store, no other daemon", nil, false, 4 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			follow(t, func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, _ *watcher) {
				g.Expect(fleet.Do(context.Background(), mangofleet.UpdateMembers{Sightings: test.seen})).To(gomega.Succeed())
				s.setDown(true)
				time.Sleep(test.away)
				if test.witness {
					g.Expect(fleet.Do(context.Background(), mangofleet.RecordReads{Daemon: "e", Reads: mangofleet.Reads{Failed: time.Second}})).To(gomega.Succeed())
				}
				s.change(func() { s.servers, s.removed = nil, []mangomodel.ServerID{"s1"} })
				s.setDown(false)
				for fleet.View().ListCursor.Position < 2 {
					time.Sleep(10 * time.Millisecond)
				}
				g.Expect(fleet.View().Listed).To(gomega.HaveLen(map[bool]int{true: 1}[test.kept]))
				time.Sleep(2*time.Second + 10*time.Millisecond)
				g.Expect(fleet.View().Listed).To(gomega.BeEmpty())
			})
		})
	}
}

// TestConfigurationIsReadThoughTheListIsConfirmed guards against a daemon that takes a
// current list of servers for a current configuration: the scheduler, which reads both
// records for it, can follow only the list.
func TestConfigurationIsReadThoughTheListIsConfirmed(t *testing.T) {
	const bound = 2500 * time.Millisecond
	scheduler := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "c"}, DataCentre: "a1", Address: "c", Strong: true}
	follow(t, func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, _ *watcher) {
		confirm := func() {
			g.Expect(fleet.Do(context.Background(), mangofleet.UpdateMembers{Sightings: []mangoroster.Sighting{{Member: scheduler}}})).To(gomega.Succeed())
			g.Expect(fleet.Do(context.Background(), mangofleet.ChangeServers{Cursor: fleet.View().ListCursor})).To(gomega.Succeed())
		}
		confirmFor := func(d time.Duration) {
			for began := time.Now(); time.Since(began) < d; time.Sleep(100 * time.Millisecond) {
				confirm()
			}
		}
		// The last reads end.
		confirmFor(2 * poll)
		g.Expect(fleet.View().FollowsScheduler(time.Now())).To(gomega.BeTrue())
		s.change(func() { s.revision = 2 })
		confirmFor(bound)
		g.Expect(fleet.View().Routing.Revision).To(gomega.BeEquivalentTo(2))
	})
}

// TestChangeIsAppliedWithinTheBoundIfTheReaderIsCutOff guards against a daemon that goes
// on relying on the scheduler's reads for so long that a change takes effect too late. The
// records change right after the last read that the scheduler has reported.
func TestChangeIsAppliedWithinTheBoundIfTheReaderIsCutOff(t *testing.T) {
	scheduler := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "c"}, DataCentre: "a1", Address: "c", Strong: true}
	for _, bound := range []time.Duration{mangobound.Min, 1500 * time.Millisecond, mangobound.Standard, 4 * time.Second} {
		followWithin(t, bound, func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, _ *watcher) {
			ctx, times := context.Background(), mangobound.Within(bound)
			report := func(age time.Duration) {
				g.Expect(fleet.Do(ctx, mangofleet.UpdateMembers{Sightings: []mangoroster.Sighting{{Member: scheduler}}})).To(gomega.Succeed())
				g.Expect(fleet.Do(ctx, mangofleet.ChangeServers{Cursor: fleet.View().ListCursor, Age: age})).To(gomega.Succeed())
				g.Expect(fleet.Do(ctx, mangofleet.RoutingConfirmed{Revision: 1, Age: age})).To(gomega.Succeed())
			}
			for range 20 {
				report(0)
				time.Sleep(times.Poll / 2)
			}
			read := time.Now()
			report(0)
			s.change(func() { s.servers, s.removed, s.revision = nil, []mangomodel.ServerID{"s1"}, 2 })
			for age := time.Duration(0); age < times.Age; age = time.Since(read) {
				report(age)
				time.Sleep(50 * time.Millisecond)
			}
			for fleet.View().Routing.Revision < 2 || len(fleet.View().Listed) > 0 {
				time.Sleep(10 * time.Millisecond)
			}
			g.Expect(time.Since(read)).To(gomega.BeNumerically("<=", bound))
		})
	}
}

// TestUnchangedRecordsAreNotReadInALoop checks that reads of records without
// changes wait for the duration of the long poll.
func TestUnchangedRecordsAreNotReadInALoop(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, _ *mangofleet.Fleet, _ *watcher) {
		s.mu.Lock()
		before := s.reads
		s.mu.Unlock()
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		g.Expect(s.reads - before).To(gomega.BeNumerically("<=", 2*int(10*time.Second/poll)))
	})
}
