package mangofollow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobudget"
	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

// source is a platform whose answers a test sets.
type source struct {
	mu       sync.Mutex
	revision mangomodel.Revision
	servers  map[mangomodel.ServerID]mangotraffic.Server
	cursor   mangotraffic.Cursor
	// lostBefore is the oldest cursor that is still known.
	lostBefore mangotraffic.Cursor
	down       bool
	reads      int
}

var errDown = errors.New("down")

// wait is a long read: it answers at once when something is new.
func (s *source) wait(ctx context.Context, after mangotraffic.Cursor, wait time.Duration) (bool, error) {
	s.mu.Lock()
	s.reads++
	down, lost, news := s.down, after != 0 && after < s.lostBefore, after < s.cursor
	s.mu.Unlock()
	switch {
	case down:
		<-ctx.Done()
		return false, errDown
	case lost:
		return false, ErrHistoryLost
	case !news:
		sleep(ctx, wait)
	}
	return news, nil
}

func (s *source) Routing(ctx context.Context, after mangotraffic.Cursor, wait time.Duration) (*mangotraffic.Routing, mangotraffic.Cursor, error) {
	news, err := s.wait(ctx, after, wait)
	if err != nil || !news {
		return nil, after, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, err := mangotraffic.NewRouting(s.revision, nil, nil, mangotraffic.Limits{})
	return r, s.cursor, err
}

func (s *source) Servers(ctx context.Context, after mangotraffic.Cursor, wait time.Duration) ([]mangotraffic.ServerChange, mangotraffic.Cursor, error) {
	news, err := s.wait(ctx, after, wait)
	if err != nil || !news {
		return nil, after, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []mangotraffic.ServerChange
	for id, server := range s.servers {
		changes = append(changes, mangotraffic.ServerChange{ID: id, Server: &server})
	}
	return changes, s.cursor, nil
}

func (s *source) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.cursor++
}

type watcher struct {
	mu             sync.Mutex
	lost, regained int
}

func (w *watcher) Lost(Record, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost++
}

func (w *watcher) Regained(Record, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.regained++
}

func (*watcher) Rejected(mangomodel.Revision, error) {}

func (w *watcher) counts() (int, int) { w.mu.Lock(); defer w.mu.Unlock(); return w.lost, w.regained }

func follow(t *testing.T, f func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, w *watcher)) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{revision: 1, cursor: 1, servers: map[mangomodel.ServerID]mangotraffic.Server{"s1": {ID: "s1", Service: "app"}}}
		self := mangoroster.Member{Holder: mangomodel.Holder{Daemon: "d"}, DataCentre: "a1"}
		fleet := mangofleet.New(mangofleet.Self{Member: self}, func() mangobudget.Limits {
			return mangobudget.Limits{Window: time.Second}
		})
		w := &watcher{}
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		go fleet.Run(ctx)
		go New(fleet, s, w).Run(ctx)
		time.Sleep(time.Second)
		f(gomega.NewWithT(t), s, fleet, w)
	})
}

func TestChangesAreInForceAtOnce(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, _ *watcher) {
		g.Expect(fleet.View().Routing.Revision).To(gomega.BeEquivalentTo(1))
		g.Expect(fleet.View().Ready()).To(gomega.BeTrue())
		s.change(func() { s.revision = 2 })
		time.Sleep(2 * time.Second)
		g.Expect(fleet.View().Routing.Revision).To(gomega.BeEquivalentTo(2))
	})
}

func TestLostHistoryIsReadWhole(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, fleet *mangofleet.Fleet, w *watcher) {
		s.change(func() {
			s.revision, s.lostBefore = 3, s.cursor+1
			s.servers = map[mangomodel.ServerID]mangotraffic.Server{"s2": {ID: "s2", Service: "app"}}
		})
		time.Sleep(2 * time.Second)
		g.Expect(fleet.View().Routing.Revision).To(gomega.BeEquivalentTo(3))
		g.Expect(fleet.View().Listed).To(gomega.HaveLen(1))
		g.Expect(fleet.View().Listed).To(gomega.HaveKey(mangomodel.ServerID("s2")))
		lost, _ := w.counts()
		g.Expect(lost).To(gomega.Equal(0), "lost history is no outage")
	})
}

func TestOutageKeepsWhatIsKnown(t *testing.T) {
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

// TestEmptyPlatformIsNotReadInALoop covers a platform without anything yet.
func TestEmptyPlatformIsNotReadInALoop(t *testing.T) {
	follow(t, func(g *gomega.WithT, s *source, _ *mangofleet.Fleet, _ *watcher) {
		s.mu.Lock()
		before := s.reads
		s.mu.Unlock()
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		g.Expect(s.reads - before).To(gomega.BeNumerically("<=", 2*int(10*time.Second/longRead)))
	})
}
