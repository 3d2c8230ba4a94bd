package mangostage

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopool"
	"mangolane/core/mangotraffic"
)

// claims is a store that may come back from an older copy.
type claims struct {
	mu sync.Mutex
	// claimed is the store's clock at the last claim.
	last    Claim
	claimed time.Duration
	version uint64
	era     mangotraffic.Era
	clock   time.Time
	reads   int
	// delay returns how much later a write is made, without an answer.
	delay func() time.Duration
}

var errNoAnswer = errors.New("no answer")

func newClaims() *claims {
	return &claims{era: 1, clock: time.Now(), delay: func() time.Duration { return 0 }}
}

func (s *claims) LastClaim(context.Context, mangotraffic.ServiceName) (Claim, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	last := s.last
	last.Now, last.Era = time.Since(s.clock), s.era
	last.Age = last.Now - s.claimed
	return last, nil
}

func (s *claims) TakeClaim(_ context.Context, _ mangotraffic.ServiceName, holder mangomodel.DaemonID, last Claim) (FencingToken, error) {
	if d := s.delay(); d > 0 {
		time.AfterFunc(d, func() { _, _ = s.take(holder, last) })
		return 0, errNoAnswer
	}
	return s.take(holder, last)
}

func (s *claims) take(holder mangomodel.DaemonID, last Claim) (FencingToken, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last.Version != last.Version {
		return 0, errors.New("conflict")
	}
	s.version++
	s.last, s.claimed = Claim{Holder: holder, Version: s.version, TakenIn: last.Era}, last.Now
	if s.era != last.Era {
		return 0, errors.New("another era")
	}
	return NewFencingToken(s.era, s.version)
}

// copy returns a function that makes the store continue from its present state. Its clock
// is set to zero then unless it is steady.
func (s *claims) copy(steady bool) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, claimed, version := s.last, s.claimed, s.version
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.last, s.claimed, s.version = last, claimed, version
		if !steady {
			s.clock = time.Now()
		}
		s.era++
	}
}

// newest returns the version of the last claim.
func (s *claims) newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// engine records the orders that arrive.
type engine struct {
	mu     sync.Mutex
	orders []arrival
	// transit returns how long an order takes.
	transit func() time.Duration
}

type arrival struct {
	Order
	at time.Time
}

func (e *engine) Order(_ context.Context, _ mangotraffic.Server, o Order) error {
	time.Sleep(e.transit())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, arrival{o, time.Now()})
	return nil
}

func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

func (e *engine) Report(context.Context, mangotraffic.Server) (mangotraffic.LoadReport, error) {
	return mangotraffic.LoadReport{}, nil
}

func newEngine() *engine { return &engine{transit: func() time.Duration { return 0 }} }

var change = mangopool.StageChange{Service: "llm", Server: mangotraffic.Server{ID: "p"}, To: mangotraffic.StageDecode}

func newDaemon(id mangomodel.DaemonID, s *claims, e *engine) *Controller {
	return New(mangomodel.Holder{Daemon: id}, &fleet{}, e, s, e, WithOrderLease(defaultOrderLease))
}

const lostWait = defaultOrderLease + 2*orderTimeout

// TestClaimThatTheStoreLostBlocks guards against two daemons that both order, since the
// store has lost the claim of one of them.
func TestClaimThatTheStoreLostBlocks(t *testing.T) {
	type test struct {
		name string
		// before and lost claim before the copy and after it.
		before, lost bool
		// next orders after the return, and starts then if it is new.
		next  mangomodel.DaemonID
		isNew bool
	}
	tests := []test{
		{"no claim is left", false, true, "b", false},
		{"no claim is left, a daemon that starts", false, true, "c", true},
		{"no claim is left, its holder", false, true, "a", false},
		{"an older claim is left", true, true, "b", false},
		{"an older claim is left, a daemon that starts", true, true, "c", true},
		{"an older claim is left, its holder", true, true, "a", false},
		{"none was lost, which nobody knows", true, false, "b", false},
		{"none was lost, its holder", true, false, "a", false},
	}
	for i := range 2 * len(tests) {
		test, steady := tests[i/2], i%2 == 0
		t.Run(fmt.Sprintf("%s, clock steady %v", test.name, steady), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s, e := newClaims(), newEngine()
				daemons := map[mangomodel.DaemonID]*Controller{"a": newDaemon("a", s, e), "b": newDaemon("b", s, e)}
				order := func(id mangomodel.DaemonID) error {
					_, err := daemons[id].order(t.Context(), change)
					return err
				}
				for _, c := range daemons {
					c.eras.observe(1, time.Now())
				}
				time.Sleep(time.Hour)
				if test.before {
					g.Expect(order("a")).To(gomega.Succeed())
					time.Sleep(time.Minute)
				}
				restore := s.copy(steady)
				if test.lost {
					g.Expect(order("a")).To(gomega.Succeed())
				}
				restore()
				if test.isNew {
					daemons[test.next] = newDaemon(test.next, s, e)
				}
				sent, began := e.count(), time.Now()
				for time.Since(began) < lostWait {
					g.Expect(order(test.next)).NotTo(gomega.Succeed(), "%v after the return", time.Since(began))
					time.Sleep(changeInterval)
				}
				g.Expect(e.count()).To(gomega.Equal(sent))
				g.Expect(order(test.next)).To(gomega.Succeed())
				g.Expect(order(test.next)).To(gomega.Succeed(), "its own claim of this era blocks nothing")
			})
		})
	}
}

// TestStartInAnEraWithAClaimWaitsForNothing guards against a daemon that orders nothing after
// each start, though the claim in the store shows that none was lost.
func TestStartInAnEraWithAClaimWaitsForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s, e := newClaims(), newEngine()
		first := newDaemon("a", s, e)
		first.eras.observe(1, time.Now())
		time.Sleep(lostWait)
		_, err := first.order(t.Context(), change)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Hour)
		_, err = newDaemon("b", s, e).order(t.Context(), change)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

// TestClaimReadInAnEarlierEraIsLate guards against an order after an answer that was delayed
// until the store had come back.
func TestClaimReadInAnEarlierEraIsLate(t *testing.T) {
	g := gomega.NewWithT(t)
	s, e := newClaims(), newEngine()
	c := newDaemon("a", s, e)
	c.eras.observe(2, time.Now().Add(-time.Hour))
	_, err := c.order(t.Context(), change)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(e.count()).To(gomega.BeZero())
}

// TestEraIsLearntFromTheList guards against a wait that begins with the first change that is
// to be ordered, long after the start.
func TestEraIsLearntFromTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s, e := newClaims(), newEngine()
		f := &fleet{view: mangofleet.View{ListCursor: mangotraffic.Cursor{Era: 1, Position: 1}}}
		c := New(mangomodel.Holder{Daemon: "a"}, f, e, s, e, WithOrderLease(defaultOrderLease))
		ctx, cancel := context.WithCancel(t.Context())
		go c.changeStages(ctx)
		time.Sleep(lostWait)
		cancel()
		synctest.Wait()
		_, err := c.order(t.Context(), change)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

// TestOrdersOverDrills guards against a lower token after a higher one, and holders that take
// turns within the order lease, with drills, starts, late writes and slow orders at random.
func TestOrdersOverDrills(t *testing.T) {
	const maxDelay = 8 * time.Second
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, random := gomega.NewWithT(t), rand.New(rand.NewPCG(seed, 1))
				var mu sync.Mutex
				chance := func(n int) bool {
					mu.Lock()
					defer mu.Unlock()
					return random.IntN(n) == 0
				}
				upTo := func(d time.Duration) time.Duration {
					mu.Lock()
					defer mu.Unlock()
					return time.Duration(random.Int64N(int64(d)))
				}
				s, e := newClaims(), newEngine()
				s.delay = func() time.Duration {
					if chance(4) {
						return upTo(maxDelay)
					}
					return 0
				}
				e.transit = func() time.Duration { return upTo(orderTimeout) }
				end := time.Now().Add(4 * time.Minute)
				var running sync.WaitGroup
				for i := range 3 {
					running.Go(func() {
						id := mangomodel.DaemonID(fmt.Sprint(i))
						for c := newDaemon(id, s, e); time.Now().Before(end); time.Sleep(upTo(time.Second)) {
							if chance(20) {
								c = newDaemon(id, s, e)
							}
							_, _ = c.order(t.Context(), change)
						}
					})
				}
				for time.Now().Before(end) {
					time.Sleep(upTo(20 * time.Second))
					restore, before := s.copy(chance(2)), s.newest()
					for s.newest() == before && time.Now().Before(end) {
						time.Sleep(upTo(time.Second))
					}
					time.Sleep(upTo(time.Second))
					restore()
				}
				running.Wait()
				time.Sleep(maxDelay)
				g.Expect(len(e.orders)).To(gomega.BeNumerically(">", 3))
				for i := 1; i < len(e.orders); i++ {
					before, o := e.orders[i-1], e.orders[i]
					g.Expect(o.Fence).To(gomega.BeNumerically(">", before.Fence))
					if o.Holder != before.Holder {
						g.Expect(o.at.Sub(before.at)).To(gomega.BeNumerically(">=", defaultOrderLease))
					}
				}
			})
		})
	}
}

// TestBlockedChangeIsNotTriedAgainAndAgain guards against a call to the store in each interval
// of a wait that is known.
func TestBlockedChangeIsNotTriedAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s, e := newClaims(), newEngine()
		c := newDaemon("a", s, e)
		for began := time.Now(); time.Since(began) < lostWait; time.Sleep(changeInterval) {
			c.changeStage(t.Context(), change)
		}
		g.Expect(s.reads).To(gomega.Equal(1))
		g.Expect(e.count()).To(gomega.BeZero())
		c.changeStage(t.Context(), change)
		g.Expect(e.count()).To(gomega.Equal(1))
		_, err := s.take("b", Claim{Version: s.newest(), Era: 1})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		restore := s.copy(true)
		restore()
		c.changeStage(t.Context(), change)
		time.Sleep(lostWait)
		c.changeStage(t.Context(), change)
		g.Expect(e.count()).To(gomega.Equal(2))
	})
}
