package mangostall

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangotraffic"
)

// silentEngine returns no load report before a time.
type silentEngine struct{ until time.Time }

func (e silentEngine) Report(ctx context.Context, _ mangotraffic.Server) (mangotraffic.LoadReport, error) {
	select {
	case <-time.After(time.Until(e.until)):
		return mangotraffic.LoadReport{}, nil
	case <-ctx.Done():
		return mangotraffic.LoadReport{}, ctx.Err()
	}
}

// endedEngine is one whose process has ended.
type endedEngine struct{}

func (endedEngine) Report(context.Context, mangotraffic.Server) (mangotraffic.LoadReport, error) {
	return mangotraffic.LoadReport{}, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
}

// deafEngine takes no connections before a time.
type deafEngine struct{ until time.Time }

func (e deafEngine) Report(context.Context, mangotraffic.Server) (mangotraffic.LoadReport, error) {
	if time.Now().Before(e.until) {
		return mangotraffic.LoadReport{}, errors.New("dial: i/o timeout")
	}
	return mangotraffic.LoadReport{}, nil
}

// successor takes some time to secure a continuation, or finds none.
type successor struct {
	found            bool
	takes            time.Duration
	asked, withdrawn int
}

func (s *successor) Secure(bool) error {
	s.asked++
	time.Sleep(s.takes)
	if !s.found {
		return errors.New("no server has room")
	}
	return nil
}

func (s *successor) Withdraw() { s.withdrawn++ }

func TestExchangeIsCancelledOnlyOnceItsContinuationIsSecured(t *testing.T) {
	const timeout = 900 * time.Millisecond
	tests := []struct {
		name     string
		reporter LoadReporter
		silence  time.Duration
		next     successor
		// asked and cancelled are after silence.
		asked     int
		cancelled bool
	}{
		{"silent for a second", nil, 1400 * time.Millisecond, successor{found: true}, 0, false},
		{"without connections for a second", deafEngine{}, 1400 * time.Millisecond, successor{found: true}, 0, false},
		{"ended", endedEngine{}, time.Second, successor{found: true}, 1, true},
		{"silent beyond the tolerance", nil, SilenceTolerance + time.Millisecond, successor{found: true}, 1, true},
		{"without a successor", endedEngine{}, timeout + 4*retryInterval, successor{}, 5, false},
		{"a successor that takes time", endedEngine{}, 2 * timeout, successor{found: true, takes: 2 * timeout}, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				reporter, end := test.reporter, time.Now().Add(test.silence)
				switch reporter.(type) {
				case nil:
					reporter = silentEngine{end}
				case deafEngine:
					reporter = deafEngine{end}
				}
				var cancelled atomic.Bool
				w := New(mangotraffic.Server{}, &test.next, func() { cancelled.Store(true) }, WithReports(reporter))
				w.Stop()
				w.Reset(timeout)
				time.Sleep(test.silence)
				synctest.Wait()
				w.Stop()
				g.Expect(cancelled.Load()).To(gomega.Equal(test.cancelled))
				g.Expect(test.next.asked).To(gomega.Equal(test.asked))
				time.Sleep(4 * timeout)
				synctest.Wait()
				g.Expect(cancelled.Load()).To(gomega.Equal(test.cancelled), "nothing happens after Stop")
				withdrawn := 0
				if test.next.found && test.asked > 0 && !test.cancelled {
					withdrawn = 1
				}
				g.Expect(test.next.withdrawn).To(gomega.Equal(withdrawn))
			})
		})
	}
}

func TestEngineThatRespondsButSendsNothingIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var cancelled atomic.Bool
		next := &successor{found: true}
		w := New(mangotraffic.Server{}, next, func() { cancelled.Store(true) }, WithReports(silentEngine{}))
		w.Stop()
		w.Reset(time.Second)
		time.Sleep((maxStalls+1)*time.Second - time.Millisecond)
		synctest.Wait()
		g.Expect(cancelled.Load()).To(gomega.BeFalse())
		time.Sleep(time.Millisecond)
		synctest.Wait()
		g.Expect(cancelled.Load()).To(gomega.BeTrue())
	})
}

func TestHangBeforeTheFirstEventIsLeftAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var cancelled atomic.Bool
		w := New(mangotraffic.Server{}, &successor{found: true}, func() { cancelled.Store(true) }, WithReports(silentEngine{}))
		w.Reset(time.Second)
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(cancelled.Load()).To(gomega.BeTrue())
	})
}

func TestProgressWhileSecuringDoesNotSecureTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		next := &successor{found: true, takes: 5 * time.Second}
		w := New(mangotraffic.Server{}, next, func() { t.Error("cancelled") }, WithReports(endedEngine{}))
		for range 4 {
			w.Reset(time.Second)
			time.Sleep(1100 * time.Millisecond)
			w.Stop()
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		g.Expect(next.asked).To(gomega.Equal(1))
		g.Expect(next.withdrawn).To(gomega.Equal(1))
	})
}

func TestProgressWhileQueryingSecuresNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		next := &successor{found: true}
		w := New(mangotraffic.Server{}, next, func() { t.Error("cancelled") }, WithReports(silentEngine{time.Now().Add(time.Hour)}))
		w.Reset(time.Second)
		time.Sleep(1100 * time.Millisecond)
		w.Stop()
		time.Sleep(SilenceTolerance)
		synctest.Wait()
		g.Expect(next.asked).To(gomega.BeZero())
	})
}
