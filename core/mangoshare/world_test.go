package mangoshare

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mangolane/core/mangolease"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoqueue"
	"mangolane/core/mangoreturn"
	"mangolane/core/mangotraffic"
)

const (
	// slots run generations of 500 ms on average, so capacity a second.
	slots    = 20
	capacity = 40.0
	tick     = time.Millisecond
)

// source is the demand of one workspace.
type source struct {
	workspace mangomodel.WorkspaceID
	priority  mangotraffic.Priority
	// rate is in demands a second.
	rate float64
	// returns is set if its refused clients return as told.
	returns bool
}

// tally counts how the demands of a workspace ended.
type tally struct{ sent, onTime, granted float64 }

func (t tally) share() float64  { return t.onTime / max(t.sent, 1) }
func (t tally) served() float64 { return t.granted / max(t.sent, 1) }

// world plays the scheduler of one service whose servers have slots, without a network.
type world struct {
	shares  *Shares
	flow    mangoqueue.Flow
	returns *mangoreturn.Board
	queue   []*mangolease.PendingDemand
	running []time.Time
	later   []retry
	next    mangomodel.Fingerprint
	random  *rand.Rand
	tallies map[mangomodel.WorkspaceID]*tally
	// unshared demands have no workspace.
	unshared bool
}

type retry struct {
	at     time.Time
	demand mangolease.Demand
}

func newWorld() *world {
	return &world{
		shares: New(DefaultBasicShare), returns: mangoreturn.New(), random: rand.New(rand.NewPCG(3, 5)),
		tallies: make(map[mangomodel.WorkspaceID]*tally),
	}
}

// play plays demands for some time and returns what became of them.
func (w *world) play(from time.Time, d time.Duration, sources ...source) map[mangomodel.WorkspaceID]*tally {
	for now := from; now.Before(from.Add(d)); now = now.Add(tick) {
		for _, s := range sources {
			if w.random.Float64() < s.rate*tick.Seconds() {
				w.arrive(s.demand(w), now)
			}
		}
		for len(w.later) > 0 && !w.later[0].at.After(now) {
			w.arrive(w.later[0].demand, now)
			w.later = w.later[1:]
		}
		w.serve(now)
	}
	return w.tallies
}

func (s source) demand(w *world) mangolease.Demand {
	w.next++
	output := mangomodel.Tokens(50 + w.random.IntN(900))
	if w.tallies[s.workspace] == nil {
		w.tallies[s.workspace] = &tally{}
	}
	w.tallies[s.workspace].sent++
	return mangolease.Demand{
		Request: mangomodel.RequestID(s.workspace), Service: "llm", Workspace: s.workspace, Priority: s.priority, Call: w.next,
		Generation: &mangotraffic.Generation{Prompt: 1000, MaxOutput: 1000, OutputHint: output},
		OnTimeFor:  time.Second, Patience: 2 * time.Second, Begun: !s.returns,
	}
}

// arrive queues a demand. Begun marks the clients that do not return.
func (w *world) arrive(d mangolease.Demand, now time.Time) {
	if w.unshared {
		d.Workspace = ""
	}
	p := mangolease.NewPendingDemand(mangolease.ID{}, d, now)
	p.Place.Returned = w.returns.Returned(d.Call, now)
	w.flow.Arrived(now)
	w.shares.Arrived(&d, now)
	w.queue = append(w.queue, p)
	w.serveQueue(p, now)
}

func (w *world) serve(now time.Time) {
	n := len(w.running)
	var left []time.Time
	for _, end := range w.running {
		if end.After(now) {
			left = append(left, end)
		}
	}
	w.running = left
	if len(left) < n || now.UnixMilli()%20 == 0 {
		w.serveQueue(nil, now)
	}
}

// serveQueue plays mangofleet's. arrived is the demand that has just arrived, or nil.
func (w *world) serveQueue(arrived *mangolease.PendingDemand, now time.Time) {
	Sort(w.shares, w.queue, now)
	var kept []*mangolease.PendingDemand
	for _, p := range w.queue {
		t := w.tallies[mangomodel.WorkspaceID(p.Demand.Request)]
		limit := p.Deadline.Sub(now)
		_, hopeless := w.flow.Hopeless(len(kept), limit, now)
		switch {
		case len(w.running) < slots:
			w.running = append(w.running, now.Add(time.Duration(p.Demand.Generation.OutputHint)*time.Millisecond))
			w.flow.Granted(now)
			w.shares.Granted(p, now)
			t.granted++
			if !p.Late(now) {
				t.onTime++
			}
		case limit <= 0 || p == arrived && hopeless:
			w.refuse(p, w.flow.ReturnAfter(len(kept), now), now)
		default:
			kept = append(kept, p)
		}
	}
	w.queue = kept
	w.flow.SetWaiting(len(kept) > 0, now)
}

// refuse plays a client that has 3 s left and retries once.
func (w *world) refuse(p *mangolease.PendingDemand, predicted time.Duration, now time.Time) {
	if p.Demand.Begun {
		return
	}
	after := mangoreturn.After(predicted, 3*time.Second)
	w.returns.Told(p.Demand.Call, after, now)
	d := p.Demand
	d.Begun = true
	i := 0
	for i < len(w.later) && !w.later[i].at.After(now.Add(after)) {
		i++
	}
	w.later = append(w.later[:i], append([]retry{{now.Add(after), d}}, w.later[i:]...)...)
}

var start = time.Unix(1_000, 0)

func workspaceID(i int) mangomodel.WorkspaceID { return mangomodel.WorkspaceID(fmt.Sprint("w", i)) }
