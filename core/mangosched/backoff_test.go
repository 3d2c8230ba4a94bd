package mangosched

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// refuse acquires a grant and releases it as refused by a server that asks for time.
func refuse(g *gomega.WithT, s *Scheduler, server mangomodel.ServerID, d time.Duration) {
	s.Acquire(start, shard0, demand("refused", mangomodel.RankUrgent))
	granted, _ := decisions(s)
	g.Expect(granted).To(gomega.HaveLen(1))
	g.Expect(s.Release(start, granted[0], mangomodel.Usage{Refused: server, Backoff: d})).To(gomega.Succeed())
}

// TestServerThatAskedForTimeIsNotGranted guards against grants to a holder on a server
// that wants nothing from it, and against a time that binds other holders or goes on
// after a restart of the server.
func TestServerThatAskedForTimeIsNotGranted(t *testing.T) {
	const asked = 10 * time.Second
	tests := []struct {
		name    string
		holder  mangomodel.Holder
		after   time.Duration
		restart bool
		granted bool
	}{
		{"within the time", self, asked - 1, false, false},
		{"after the time", self, asked, false, true},
		{"another holder", other, 0, false, true},
		{"the server restarted", self, time.Second, true, true},
	}
	for _, server := range []mangomodel.ServerID{"p0", "d0"} {
		for _, test := range tests {
			t.Run(string(server)+", "+test.name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := newScheduler(1, 4)
				s.RecordLoad(start, mangomodel.Load{Server: server, Boot: "1"})
				refuse(g, s, server, asked)
				now := start.Add(test.after)
				if test.restart {
					s.RecordLoad(now, mangomodel.Load{Server: server, Boot: "2"})
				}
				s.Acquire(now, shard0, demandOf(test.holder, "x", mangomodel.RankUrgent))
				granted, refused := decisions(s)
				g.Expect(len(granted) == 1).To(gomega.Equal(test.granted))
				g.Expect(refused).To(gomega.BeEmpty())
			})
		}
	}
}

// TestRefusedWhenServersWantNothingInTime guards against demands that wait in vain for
// servers that want nothing from their holder, and against one that blocks others.
func TestRefusedWhenServersWantNothingInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(1, 4)
	refuse(g, s, "d0", 2*time.Minute)
	s.Acquire(start, shard0, demand("x", mangomodel.RankUrgent))
	var refusal error
	for _, e := range s.TakeEffects() {
		if d, ok := e.(Decision); ok {
			refusal = d.Err
		}
	}
	g.Expect(mangomodel.AsFault(refusal, 0).RetryAfter).To(gomega.BeNumerically("~", 2*time.Minute, time.Second))
	long := demand("y", mangomodel.RankUrgent)
	long.Patience = time.Hour
	s.Acquire(start, shard0, long)
	s.Acquire(start, shard0, demandOf(other, "z", mangomodel.RankUrgent))
	granted, _ := decisions(s)
	g.Expect(granted).To(gomega.ConsistOf(grantID(other, "z")))
}
