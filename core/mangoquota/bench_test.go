package mangoquota

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"iter"
	"runtime"
	"testing"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoworkspace"
)

// The target: daemons, workspaces, and of how many of these a daemon has recent calls.
const (
	targetDaemons    = 410
	targetWorkspaces = 260
	activeWorkspaces = 16
)

// many limits a number of workspaces alike.
type many []mangomodel.WorkspaceID

func newMany() many {
	var list many
	for i := range targetWorkspaces {
		list = append(list, mangomodel.WorkspaceID(fmt.Sprintf("workspace-%03d", i)))
	}
	return list
}

func (many) Limit(mangomodel.WorkspaceID) (mangoworkspace.Limit, bool) { return largest, true }

func (m many) Limited() iter.Seq[mangomodel.WorkspaceID] {
	return func(yield func(mangomodel.WorkspaceID) bool) {
		for _, id := range m {
			if !yield(id) {
				return
			}
		}
	}
}

type benchTerms struct{}

func (benchTerms) Tolerance() float64 { return 0.08 }

func (benchTerms) Complete(n int) bool { return n >= targetDaemons }

// target is an accountant with the accounts of all daemons.
type target struct {
	many
	ledger   *Ledger
	accounts []*Account
	now      time.Time
}

func (t *target) holder(i int) mangomodel.Holder {
	return mangomodel.Holder{Daemon: mangomodel.DaemonID(fmt.Sprintf("daemon-%03d", i)), Incarnation: 1_796_537_000_000_000_000}
}

// newTarget returns a target after some renewals.
func newTarget() *target {
	t := &target{many: newMany(), now: time.Now()}
	t.ledger = NewLedger(t.many, benchTerms{})
	for range targetDaemons {
		t.accounts = append(t.accounts, NewAccount(t.many, Assumed, t.now))
	}
	for round := range 8 {
		for i := range t.accounts {
			t.renew(i, round)
		}
	}
	return t
}

// renew plays calls at a daemon and its renewal.
func (t *target) renew(i, round int) (Report, Loans) {
	t.now = t.now.Add(interval / targetDaemons)
	for k := range activeWorkspaces {
		t.accounts[i].Take(t.many[(i+k)%targetWorkspaces], 7_000, t.now)
	}
	r := t.accounts[i].Report(t.holder(0), false, t.now)
	loans := t.ledger.Renew(t.holder(i), r, t.now)
	t.accounts[i].SetLoans(loans, t.now, t.now)
	return r, loans
}

// BenchmarkRenew measures one renewal at the holder and the accountant, with calls of 16
// workspaces.
func BenchmarkRenew(b *testing.B) {
	t := newTarget()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		t.renew(n%targetDaemons, n)
		n++
	}
}

// BenchmarkMemory reports the heap of the accountant's ledger.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		t := newTarget()
		t.accounts = nil
		with := heap()
		runtime.KeepAlive(t)
		t = nil
		b.ReportMetric(with-heap(), "B/ledger")
	}
}

// BenchmarkAsk measures one ask for one call at the accountant.
func BenchmarkAsk(b *testing.B) {
	t := newTarget()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		t.now = t.now.Add(time.Millisecond)
		t.ledger.Ask(Ask{Workspace: t.many[n%targetWorkspaces], Costs: []mangoworkspace.Amount{7_000}}, t.now)
		n++
	}
}

// BenchmarkMessages reports the sizes of the messages in gob, without the descriptions of
// types that a connection carries once.
func BenchmarkMessages(b *testing.B) {
	t := newTarget()
	report, loans := t.renew(0, 0)
	idle := Report{Session: 1, Ack: report.Ack, Divisor: report.Divisor, Known: true}
	ask := Ask{Workspace: t.many[0], Costs: []mangoworkspace.Amount{7_000}}
	answer := t.ledger.Ask(ask, t.now)
	for name, v := range map[string]any{"Report": report, "Loans": loans, "IdleReport": idle, "Ask": ask, "Answer": answer} {
		b.Run(name, func(b *testing.B) {
			var buf bytes.Buffer
			enc := gob.NewEncoder(&buf)
			size := 0
			for b.Loop() {
				before := buf.Len()
				if err := enc.Encode(v); err != nil {
					b.Fatal(err)
				}
				size = buf.Len() - before
				if buf.Len() > 1<<20 {
					buf.Reset()
				}
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}
