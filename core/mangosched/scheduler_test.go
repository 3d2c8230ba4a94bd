package mangosched

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self   = mangomodel.Holder{Daemon: "a", Incarnation: 1}
	other  = mangomodel.Holder{Daemon: "b", Incarnation: 1}
	shard0 = mangomodel.ShardID{DataCentre: "dc", Model: "m"}
)

// newScheduler returns a scheduler with one prefill server and the given number
// of decode servers.
func newScheduler(decode int, slots mangomodel.Slots) *Scheduler {
	s := New(self)
	s.Configure(start, []mangoconfig.Shard{shardOf(decode, slots)})
	return s
}

// shardOf returns a shard with one prefill server and decode servers.
func shardOf(decode int, slots mangomodel.Slots) mangoconfig.Shard {
	cfg := mangoconfig.Shard{ID: shard0, Pool: mangoconfig.DefaultPool("m")}
	cfg.Servers = append(cfg.Servers, mangoconfig.Host{ID: "p0", Role: mangomodel.RolePrefill, Slots: 1})
	for i := range decode {
		cfg.Servers = append(cfg.Servers, mangoconfig.Host{
			ID: mangomodel.HostID(fmt.Sprint("d", i)), Role: mangomodel.RoleDecode, Slots: slots, Pieces: 100,
		})
	}
	return cfg
}

// grantID returns the grant id of a holder's demand with the given name.
func grantID(holder mangomodel.Holder, name string) mangomodel.GrantID {
	return mangomodel.GrantID{Holder: holder, Number: uint64(mangomodel.FingerprintOf("grant", name))}
}

func demand(id string, rank mangomodel.Rank) mangomodel.Demand {
	return demandOf(self, id, rank)
}

func demandOf(holder mangomodel.Holder, id string, rank mangomodel.Rank) mangomodel.Demand {
	return mangomodel.Demand{
		Grant: grantID(holder, id), Sequence: mangomodel.Sequence{Request: mangomodel.RequestID(id), Attempt: 1, Holder: holder},
		Workspace: "w", Model: "m", Rank: rank, Prompt: 100, MaxTokens: 100, Patience: time.Minute, Weight: 1,
		Fingerprint: mangomodel.FingerprintOf("w", id),
	}
}

// decisions returns the ids that were granted and refused since the last call.
func decisions(s *Scheduler) (granted, refused []mangomodel.GrantID) {
	for _, e := range s.TakeEffects() {
		if d, ok := e.(Decision); ok && d.Err == nil {
			granted = append(granted, d.Grant)
		} else if ok {
			refused = append(refused, d.Grant)
		}
	}
	return granted, refused
}

func TestDemandAfterItsWithdrawalIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(1, 4)
	s.Withdraw(start, grantID(self, "x"))
	s.Acquire(start, shard0, demand("x", mangomodel.RankUrgent))
	granted, refused := decisions(s)
	g.Expect(granted).To(gomega.BeEmpty())
	g.Expect(refused).To(gomega.ConsistOf(grantID(self, "x")))
	g.Expect(s.Grants()).To(gomega.BeEmpty())
}

func TestRetriedAcquireTakesOneSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(1, 4)
	for range 3 {
		s.Acquire(start, shard0, demand("x", mangomodel.RankUrgent))
	}
	g.Expect(s.Grants()).To(gomega.HaveLen(1))
	s.Release(start, grantID(self, "x"), mangomodel.Usage{})
	s.Release(start, grantID(self, "x"), mangomodel.Usage{})
	g.Expect(s.Status()[0].Used).To(gomega.Equal([mangomodel.Ranks]int{}))
}

// TestServerThatIsAddedAgainKeepsItsGrants guards against a slot that is granted
// twice: the grants on a server that was removed and added again still run there.
func TestServerThatIsAddedAgainKeepsItsGrants(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(1, 1)
	s.Acquire(start, shard0, demand("x", mangomodel.RankUrgent))
	s.Configure(start, nil)
	s.Configure(start, []mangoconfig.Shard{shardOf(1, 1)})
	s.Acquire(start, shard0, demand("y", mangomodel.RankUrgent))
	g.Expect(s.Grants()).To(gomega.HaveLen(1))
	g.Expect(s.Release(start, grantID(self, "x"), mangomodel.Usage{})).To(gomega.Succeed())
	g.Expect(s.Grants()).To(gomega.HaveLen(1))
	g.Expect(s.Grants()[0].ID).To(gomega.Equal(grantID(self, "y")))
	g.Expect(s.Release(start, grantID(self, "y"), mangomodel.Usage{})).To(gomega.Succeed())
	g.Expect(s.Status()[0].Used).To(gomega.Equal([mangomodel.Ranks]int{}))
}

// TestRefusedRetryLeavesNoDemand guards against a demand that was refused as not run
// and is granted later: its retry met a shard without servers.
func TestRefusedRetryLeavesNoDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(1, 1)
	s.Acquire(start, shard0, demand("x", mangomodel.RankUrgent))
	s.Acquire(start, shard0, demand("y", mangomodel.RankUrgent))
	s.Configure(start, nil)
	decisions(s)
	s.Acquire(start, shard0, demand("y", mangomodel.RankUrgent))
	_, refused := decisions(s)
	g.Expect(refused).To(gomega.ConsistOf(grantID(self, "y")))
	s.Configure(start, []mangoconfig.Shard{shardOf(2, 1)})
	granted, _ := decisions(s)
	g.Expect(granted).To(gomega.BeEmpty())
}

func TestRanks(t *testing.T) {
	tests := []struct {
		name                       string
		urgent, basic              int
		wantUrgent, wantBasicBelow int
	}{
		{"basic work leaves headroom", 0, 40, 0, 40},
		{"urgent work takes all slots without basic work", 40, 0, 40, 1},
		{"urgent work is served first", 40, 40, 36, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newScheduler(2, 20)
			for i := range tt.basic {
				s.Acquire(start, shard0, demand(fmt.Sprint("b", i), mangomodel.RankBasic))
				if tt.urgent > 0 && i == 0 {
					break
				}
			}
			for i := range tt.urgent {
				s.Acquire(start, shard0, demand(fmt.Sprint("u", i), mangomodel.RankUrgent))
			}
			used := s.Status()[0].Used
			g.Expect(used[mangomodel.RankUrgent]).To(gomega.Equal(tt.wantUrgent))
			g.Expect(used[mangomodel.RankBasic]).To(gomega.BeNumerically("<", tt.wantBasicBelow))
		})
	}
}

func TestWorkspacesShareFairly(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(1, 10)
	for i := range 60 {
		d := demand(fmt.Sprint("x", i), mangomodel.RankUrgent)
		d.Workspace = "greedy"
		s.Acquire(start, shard0, d)
	}
	for i := range 20 {
		d := demand(fmt.Sprint("y", i), mangomodel.RankUrgent)
		d.Workspace = "modest"
		s.Acquire(start, shard0, d)
	}
	granted, _ := decisions(s)
	counts := map[mangomodel.WorkspaceID]int{}
	for range 20 {
		s.Release(start, granted[0], mangomodel.Usage{})
		granted = granted[1:]
		next, _ := decisions(s)
		for _, id := range next {
			counts[s.grants[id].grant.Workspace]++
		}
		granted = append(granted, next...)
	}
	g.Expect(counts["modest"]).To(gomega.BeNumerically(">=", 9), "%v", counts)
}

func TestGrantsOfExpiredHolderAreCancelled(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(1, 4)
	d := demandOf(other, "x", mangomodel.RankUrgent)
	s.Acquire(start, shard0, d)
	s.TakeEffects()
	s.Renew(start.Add(5*time.Second), other, []mangomodel.ShardGrants{{Shard: shard0, Numbers: []uint64{d.Grant.Number}}})
	s.Tick(start.Add(5*time.Second + HolderLease - 1))
	g.Expect(s.Grants()).To(gomega.HaveLen(1), "the lease has not expired")
	s.Tick(start.Add(5*time.Second + HolderLease))
	g.Expect(s.Grants()).To(gomega.BeEmpty())
	g.Expect(s.TakeEffects()).To(gomega.ConsistOf(GrantEnded{Grant: grantID(other, "x")},
		Cancel{Server: "p0", Sequence: d.Sequence}, Cancel{Server: "d0", Sequence: d.Sequence}))
}

func TestSuccessorAdoptsGrants(t *testing.T) {
	g := gomega.NewWithT(t)
	first, second := newScheduler(1, 4), newScheduler(1, 4)
	for i := range 4 {
		first.Acquire(start, shard0, demandOf(other, fmt.Sprint(i), mangomodel.RankUrgent))
	}
	second.Adopt(start, first.Grants())
	late := demand("late", mangomodel.RankUrgent)
	late.Patience = 100 * time.Millisecond
	second.Acquire(start, shard0, late)
	granted, refused := decisions(second)
	g.Expect(granted).To(gomega.BeEmpty(), "all slots are taken by adopted grants")
	g.Expect(refused).To(gomega.HaveLen(1))
}

func TestOrphanedSequenceIsCancelled(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(1, 4)
	orphan := mangomodel.Sequence{Request: "r", Attempt: 1, Holder: other}
	for at := time.Duration(0); at < OrphanGrace; at += time.Second {
		s.RecordLoad(start.Add(at), mangomodel.Load{Server: "d0", Boot: "1", At: start.Add(at), Running: []mangomodel.Sequence{orphan}})
		g.Expect(s.TakeEffects()).To(gomega.BeEmpty())
	}
	s.RecordLoad(start.Add(OrphanGrace), mangomodel.Load{Server: "d0", Boot: "1", At: start, Running: []mangomodel.Sequence{orphan}})
	g.Expect(s.TakeEffects()).To(gomega.ConsistOf(Cancel{Server: "d0", Sequence: orphan}))
}

func TestGrantsOnDrainingServerTakeNoSlotsOfOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler(2, 20)
	for i := range 30 {
		s.Acquire(start, shard0, demand(fmt.Sprint("u", i), mangomodel.RankUrgent))
	}
	s.Acquire(start, shard0, demand("b", mangomodel.RankBasic))
	decisions(s)
	s.RecordLoad(start, mangomodel.Load{Server: "d0", Boot: "1", At: start, Draining: true})
	s.Acquire(start, shard0, demand("late", mangomodel.RankUrgent))
	granted, _ := decisions(s)
	g.Expect(granted).To(gomega.HaveLen(1), "the other server has free slots")
}
