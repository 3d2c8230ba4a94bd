package mangomember

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// SuspicionTimeout is how long a suspect has to refute the suspicion.
	SuspicionTimeout = 2 * time.Second
	// DeadRetention is how long a dead daemon's record is kept, so that delayed
	// records of its incarnation are recognised as outdated.
	DeadRetention = 5 * time.Minute
	// RemoteMembersPerDataCentre is the number of daemons of another data centre,
	// without dead ones, from which no new one is added.
	RemoteMembersPerDataCentre = 3
	// retransmitFactor times the binary logarithm of the number of daemons is
	// how often a changed record is sent.
	retransmitFactor = 3
)

// Table holds one daemon's records of all daemons.
type Table struct {
	self    Member
	records map[mangomodel.DaemonID]*record
}

// record is a member record and the state of its dissemination.
type record struct {
	member Member
	// since is when the state was last changed.
	since time.Time
	// remainingSends is how many more times the record is sent.
	remainingSends int
}

// New returns a table that holds only the daemon's own record.
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

// Merge merges records received from another daemon. It returns the daemon
// incarnations that have ended according to them: those that are dead and those
// that are replaced by a new incarnation.
func (t *Table) Merge(now time.Time, updates []Member) []mangomodel.Holder {
	var lost []mangomodel.Holder
	for _, m := range updates {
		lost = append(lost, t.merge(now, m)...)
	}
	return lost
}

// ProbeFailed marks a daemon as suspect that responded neither directly nor
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

// Tick marks suspects that did not refute within SuspicionTimeout as dead and
// returns their incarnations. It removes daemons that have been dead for
// DeadRetention.
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

// NextDue returns the time at which Tick is next due, and false if no record has
// a timeout.
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

// Members returns all records, including the daemon's own, ordered by id.
func (t *Table) Members() []Member {
	members := []Member{t.self}
	for _, r := range t.records {
		members = append(members, r.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return members
}

// PendingUpdates returns the records that are still to be sent within the data
// centre, those with the most remaining sends first.
func (t *Table) PendingUpdates() []Member {
	pending := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		if r.remainingSends > 0 && r.member.DataCentre == t.self.DataCentre {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.remainingSends, a.remainingSends), cmp.Compare(a.member.Daemon, b.member.Daemon))
	})
	updates := make([]Member, len(pending))
	for i, r := range pending {
		updates[i] = r.member
	}
	return updates
}

// MarkSent decrements the remaining sends of records that were put into a
// message.
func (t *Table) MarkSent(members []Member) {
	for _, m := range members {
		if r, ok := t.records[m.Daemon]; ok && r.remainingSends > 0 {
			r.remainingSends--
		}
	}
}

func (t *Table) merge(now time.Time, m Member) []mangomodel.Holder {
	if m.Daemon == t.self.Daemon {
		t.refute(m)
		return nil
	}
	r, exists := t.records[m.Daemon]
	if !exists {
		if m.State != Dead && t.shouldKeep(m) {
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

// refute raises the version of the daemon's own record if a received record of
// the same incarnation takes precedence over it.
func (t *Table) refute(m Member) {
	if m.Incarnation != t.self.Incarnation || m.compare(t.self) <= 0 {
		return
	}
	t.self.Version = m.Version + 1
}

// shouldKeep reports whether a new daemon is added to the table: every daemon of
// the same data centre, and up to RemoteMembersPerDataCentre of each other one.
func (t *Table) shouldKeep(m Member) bool {
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
	r.remainingSends = retransmitFactor * bits.Len(uint(len(t.records)))
}
