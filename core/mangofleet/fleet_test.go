package mangofleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangobudget"
	"mangolane/core/mangohealth"
	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoquarantine"
	"mangolane/core/mangoquota"
	"mangolane/core/mangoroster"
	"mangolane/core/mangotraffic"
)

const (
	engines mangotraffic.ServiceName = "llm"
	app     mangotraffic.ServiceName = "app"
)

var testLimits = mangobudget.Limits{Ratio: 0.2, Fixed: 40, Window: 10 * time.Second}

// fixture is a fleet in a synctest bubble.
type fixture struct {
	*gomega.WithT
	fleet *Fleet
	self  mangomodel.Holder
	next  atomic.Uint64
	// observed holds the notifications of the fleet.
	observed *recordingObserver
}

// recordingObserver keeps the notifications of an Observer. The control goroutine
// writes them, and the tests read them while that goroutine waits.
type recordingObserver struct {
	mangopanic.Nop
	revisions []mangomodel.Revision
	lists     []ChangeServers
	ignored   []ChangeServers
	restored  int
	deferred  []mangomodel.ServerID
	usable    []bool
	withdrawn []mangomodel.ServerID
	backoffs  []mangolease.Announcement
	parts     []mangoquarantine.Change
	refused   []*mangoquota.Refusal
	asked     int
	waited    []time.Duration
}

func (o *recordingObserver) RoutingChanged(rev mangomodel.Revision, _ mangomodel.PeerName) {
	o.revisions = append(o.revisions, rev)
}

func (o *recordingObserver) ServersChanged(cmd ChangeServers)       { o.lists = append(o.lists, cmd) }
func (o *recordingObserver) StoreRestored(_, _ mangotraffic.Cursor) { o.restored++ }
func (o *recordingObserver) EntryDeferred(ref mangotraffic.ServerRef, _ time.Duration) {
	o.deferred = append(o.deferred, ref.ID)
}
func (o *recordingObserver) ListIgnored(cmd ChangeServers, _ mangotraffic.Cursor) {
	o.ignored = append(o.ignored, cmd)
}

func (o *recordingObserver) HealthChanged(_ mangotraffic.Server, r mangohealth.Record, now time.Time) {
	o.usable = append(o.usable, r.Usable(now))
}

func (o *recordingObserver) ServerWithdrawn(server mangotraffic.ServerRef, _ mangomodel.RequestID, _ mangomodel.PeerName) {
	o.withdrawn = append(o.withdrawn, server.ID)
}

func (o *recordingObserver) BackoffAsked(a mangolease.Announcement) {
	o.backoffs = append(o.backoffs, a)
}

func (o *recordingObserver) PartChanged(c mangoquarantine.Change, _ time.Time) {
	o.parts = append(o.parts, c)
}

func (o *recordingObserver) QuotaRefused(r *mangoquota.Refusal) { o.refused = append(o.refused, r) }

func (o *recordingObserver) QuotaAsked(calls int) { o.asked += calls }

func (o *recordingObserver) QuotaWaited(took time.Duration) { o.waited = append(o.waited, took) }

// bubble runs a test with a fleet that uses the fake clock of a synctest bubble.
func bubble(t *testing.T, f func(x *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		self := mangomodel.Holder{Daemon: "d1", Incarnation: 1}
		x := &fixture{WithT: gomega.NewWithT(t), self: self, observed: &recordingObserver{}}
		x.fleet = New(Self{
			Member:  mangoroster.Member{Holder: self, DataCentre: "a1", Address: "d1:1", Strong: true},
			Regions: map[mangomodel.DataCentreID]mangomodel.RegionID{"a1": "a", "a2": "a", "b1": "b"},
		}, func() mangobudget.Limits { return testLimits }, WithObserver(x.observed))
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		go x.fleet.Run(ctx)
		routing, err := mangotraffic.NewRouting(1, nil, []mangotraffic.Service{
			{Name: engines, Engine: &mangotraffic.Engine{Slots: 4, KVTokens: 10_000, TokensPerEvent: 10}}, {Name: app},
		}, mangotraffic.Limits{})
		x.Expect(err).NotTo(gomega.HaveOccurred())
		x.do(InstallRouting{Routing: routing})
		f(x)
	})
}

func (x *fixture) do(cmd Command) {
	x.Expect(x.fleet.Do(context.Background(), cmd)).To(gomega.Succeed())
}

func decode(id mangomodel.ServerID, dc mangomodel.DataCentreID) mangotraffic.Server {
	return mangotraffic.Server{ID: id, Service: engines, Address: "x", DataCentre: dc, Stage: mangotraffic.StageDecode, Slots: 4}
}

func prefill(id mangomodel.ServerID, dc mangomodel.DataCentreID) mangotraffic.Server {
	s := decode(id, dc)
	s.Stage = mangotraffic.StagePrefill
	return s
}

func plain(id mangomodel.ServerID, dc mangomodel.DataCentreID) mangotraffic.Server {
	return mangotraffic.Server{ID: id, Service: app, Address: "x", DataCentre: dc, Slots: 2}
}

// list replaces the whole list by the servers, as read at a position.
func (x *fixture) list(position uint64, servers ...mangotraffic.Server) {
	cmd := ChangeServers{Full: true, Cursor: mangotraffic.Cursor{Position: position}}
	for i := range servers {
		cmd.Changes = append(cmd.Changes, mangotraffic.ServerChange{ID: servers[i].ID, Server: &servers[i]})
	}
	x.do(cmd)
}

func (x *fixture) id() mangolease.ID {
	return mangolease.ID{Holder: x.self, Number: x.next.Add(1)}
}

func generation(prompt, output mangomodel.Tokens) mangolease.Demand {
	return mangolease.Demand{
		Service: engines, Origin: "a1", Generation: &mangotraffic.Generation{Prompt: prompt, MaxOutput: 2 * output},
		OnTimeFor: time.Second, Patience: 2 * time.Second,
	}
}

func call() mangolease.Demand {
	return mangolease.Demand{Service: app, Origin: "a1", OnTimeFor: time.Second, Patience: time.Second}
}

// acquire returns the granted lease.
func (x *fixture) acquire(d mangolease.Demand) (mangolease.ID, mangolease.Lease, error) {
	id := x.id()
	err := x.fleet.Do(context.Background(), Acquire{Lease: id, Demand: d})
	lease, _ := x.fleet.View().Lease(id)
	return id, lease, err
}

func (x *fixture) mustAcquire(d mangolease.Demand) (mangolease.ID, mangolease.Lease) {
	id, lease, err := x.acquire(d)
	x.Expect(err).NotTo(gomega.HaveOccurred())
	return id, lease
}
