package mangomember

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// SuspicionTimeout is how long a suspect may refute.
	SuspicionTimeout = 2 * time.Second
	// DeadRetention is how long a dead daemon's record is kept, so that late
	// news of its life is recognised as old.
	DeadRetention = 5 * time.Minute
	// RemoteMembersPerDataCentre is how many daemons of another data centre are
	// known.
	RemoteMembersPerDataCentre = 3
	// spreadFactor times the logarithm of the number of daemons is how often
	// a change is passed on.
	spreadFactor = 3
)

// Table is one daemon's beliefs.
type Table struct {
	self    Member
	records map[mangomodel.DaemonID]*record
}

// record is a belief and how far it has been spread.
type record struct {
	member Member
	// since is when the state was last changed.
	since time.Time
	// sends is how often the record still travels on messages.
	sends int
}

// New returns a table that knows only the daemon itself.
func New(self Member) *Table {
	return &Table{self: self, records: make(map[mangomodel.DaemonID]*record)}
}

// Self returns the daemon's record of itself.
func (t *Table) Self() Member { return t.self }

// Leave marks the daemon itself as leaving.
func (t *Table) Leave() {
	t.self.State = Leaving
	t.self.Version++
}

// Merge takes in records from another daemon. It returns the daemon lives
// that ended by it: those found dead and those replaced by a new incarnation.
func (t *Table) Merge(now time.Time, updates []Member) []mangomodel.Holder {
	var lost []mangomodel.Holder
	for _, m := range updates {
		lost = append(lost, t.merge(now, m)...)
	}
	return lost
}

// ProbeFailed makes a daemon suspect that answered neither directly nor
// through helpers.
func (t *Table) ProbeFailed(now time.Time, id mangomodel.DaemonID) {
	r, ok := t.records[id]
	if !ok || r.member.State == Suspect || r.member.State == Dead {
		return
	}
	m := r.member
	m.State = Suspect
	t.set(now, m)
}

// Tick turns suspects that did not refute in time into dead daemons, returns
// their lives, and forgets daemons that have been dead for long.
func (t *Table) Tick(now time.Time) []mangomodel.Holder {
	var lost []mangomodel.Holder
	for id, r := range t.records {
		age := now.Sub(r.since)
		switch {
		case r.member.State == Suspect && age >= SuspicionTimeout:
			m := r.member
			m.State = Dead
			t.set(now, m)
			lost = append(lost, m.Holder())
		case r.member.State == Dead && age >= DeadRetention:
			delete(t.records, id)
		}
	}
	return lost
}

// NextDue returns when Tick next has something to do, if ever.
func (t *Table) NextDue() (time.Time, bool) {
	var due time.Time
	for _, r := range t.records {
		after := SuspicionTimeout
		switch r.member.State {
		case Suspect:
		case Dead:
			after = DeadRetention
		default:
			continue
		}
		if at := r.since.Add(after); due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due, !due.IsZero()
}

// Members returns all records, the daemon's own included, in order of ids.
func (t *Table) Members() []Member {
	members := []Member{t.self}
	for _, r := range t.records {
		members = append(members, r.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return members
}

// PendingUpdates returns the records that still travel on messages within the data
// centre, those least often passed on first.
func (t *Table) PendingUpdates() []Member {
	fresh := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		if r.sends > 0 && r.member.DataCentre == t.self.DataCentre {
			fresh = append(fresh, r)
		}
	}
	slices.SortFunc(fresh, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.member.Daemon, b.member.Daemon))
	})
	changes := make([]Member, len(fresh))
	for i, r := range fresh {
		changes[i] = r.member
	}
	return changes
}

// MarkSent notes that records were put on a message.
func (t *Table) MarkSent(members []Member) {
	for _, m := range members {
		if r, ok := t.records[m.Daemon]; ok && r.sends > 0 {
			r.sends--
		}
	}
}

func (t *Table) merge(now time.Time, m Member) []mangomodel.Holder {
	if m.Daemon == t.self.Daemon {
		t.refute(m)
		return nil
	}
	r, known := t.records[m.Daemon]
	if !known {
		if m.State != Dead && t.wanted(m) {
			t.set(now, m)
		}
		return nil
	}
	if m.compare(r.member) <= 0 {
		return nil
	}
	old := r.member
	t.set(now, m)
	if old.State != Dead && (m.State == Dead || m.Incarnation > old.Incarnation) {
		return []mangomodel.Holder{old.Holder()}
	}
	return nil
}

// refute answers a record of the daemon itself that is newer than its own.
func (t *Table) refute(m Member) {
	if m.Incarnation != t.self.Incarnation || m.compare(t.self) <= 0 {
		return
	}
	t.self.Version = m.Version + 1
}

// wanted reports whether a new daemon is to be known: every daemon of the own
// data centre, and a few of each other one.
func (t *Table) wanted(m Member) bool {
	if m.DataCentre == t.self.DataCentre {
		return true
	}
	n := 0
	for _, r := range t.records {
		if r.member.DataCentre == m.DataCentre && r.member.State != Dead {
			n++
		}
	}
	return n < RemoteMembersPerDataCentre
}

func (t *Table) set(now time.Time, m Member) {
	r, ok := t.records[m.Daemon]
	if !ok {
		r = &record{}
		t.records[m.Daemon] = r
	}
	r.member = m
	r.since = now
	r.sends = spreadFactor * bits.Len(uint(len(t.records)))
}
