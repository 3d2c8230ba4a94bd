package mangomesh

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoroster"
)

// fakeFleet applies commands in a time, or fails like a fleet whose caller has
// given up.
type fakeFleet struct{ takes time.Duration }

func (f fakeFleet) Do(ctx context.Context, _ mangofleet.Command) error {
	select {
	case <-time.After(f.takes):
		return nil
	case <-ctx.Done():
		return mangomodel.Faultf(mangomodel.StepAdmission, "", mangomodel.CodeCancelled, mangomodel.RunNot, "%v", ctx.Err())
	}
}

func (fakeFleet) View() *mangofleet.View { return &mangofleet.View{} }

func acquire(t *testing.T, fleet Fleet, patience time.Duration) error {
	g := gomega.NewWithT(t)
	server, err := NewServer(fleet, nil, mangopanic.Nop{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go server.Serve(l)
	at := mangoroster.Member{Address: mangomodel.Address(l.Addr().String())}
	_, err = NewPeers().Acquire(t.Context(), at, mangolease.ID{}, mangolease.Demand{Patience: patience})
	return err
}

func TestLateDemandDoesNotLoseItsScheduler(t *testing.T) {
	for _, patience := range []time.Duration{0, -time.Second, -time.Minute} {
		if err := acquire(t, fakeFleet{takes: time.Millisecond}, patience); err != nil {
			t.Errorf("wait limit %v: %v", patience, err)
		}
	}
}

func TestDemandThatEndsAtItsSchedulerIsNotTheClientsLeaving(t *testing.T) {
	var reply AcquireReply
	c := &Command{fleet: fakeFleet{takes: time.Minute}, observer: mangopanic.Nop{}}
	if err := c.Acquire(AcquireArgs{}, &reply); err != nil || reply.Fault == nil || reply.Fault.Code == mangomodel.CodeCancelled {
		t.Errorf("got %v, %+v, want a fault that is answered", err, reply.Fault)
	}
}
