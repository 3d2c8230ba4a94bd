package mangocommand

import (
	"time"

	"golang.org/x/time/rate"

	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
)

const (
	// DefaultTableWrites is how many writes a second all daemons together
	// make in the table service for entries.
	DefaultTableWrites = 300
	// writesPerEntry is how many rows one entry writes.
	writesPerEntry = 2
	// entryBurst is how many entries may start at once.
	entryBurst = 10
	// repeatableShare is the part of a service's slots that calls take which
	// may be repeated; the others are left to entries.
	repeatableShare = 0.8
	// callRetryAfter is suggested when a service's slots are taken.
	callRetryAfter = 500 * time.Millisecond
)

// callLimits bounds the application calls of a daemon to its share of the
// table service's writes and of each plain service's slots.
type callLimits struct {
	// tableWrites is the budget of all daemons together, per second.
	tableWrites float64
	entries     *rate.Limiter
	inFlight    map[mangomodel.ModelID]int
}

func newCallLimits() *callLimits {
	return &callLimits{
		tableWrites: DefaultTableWrites,
		entries:     rate.NewLimiter(0, entryBurst),
		inFlight:    make(map[mangomodel.ModelID]int),
	}
}

// sharers is how many daemons share what the own data centre may use, and how
// many data centres there are.
func (s *state) sharers() (daemons, dataCentres int) {
	self := s.members.Self()
	for _, m := range s.members.Members() {
		if m.DataCentre == self.DataCentre && (m.MayOwnShards() || m.State == mangomember.Leaving) {
			daemons++
		}
	}
	return max(daemons, 1), max(s.catalog.DataCentres(), 1)
}

// serviceSlots is how many calls to a service this daemon may have in flight:
// its share of the slots in its data centre or, without any there, of all.
func (s *state) serviceSlots(service mangomodel.ModelID) int {
	near, all := 0, 0
	for _, h := range s.catalog.Services(service) {
		if h.State != mangomodel.ServerLive {
			continue
		}
		all += int(h.Slots)
		if h.DataCentre == s.members.Self().DataCentre {
			near += int(h.Slots)
		}
	}
	daemons, dataCentres := s.sharers()
	if near == 0 {
		return max(1, all/(daemons*dataCentres))
	}
	return max(1, near/daemons)
}

// BeginCall takes a slot of a plain service and, for an entry, the writes of
// its rows from the table service's budget. It fails with CodeOverloaded.
type BeginCall struct {
	Service mangomodel.ModelID
	Entry   bool
}

// Apply implements [mangoloop.Command].
func (c BeginCall) Apply(s *state, now time.Time) error {
	slots := s.serviceSlots(c.Service)
	if !c.Entry {
		slots = max(1, int(repeatableShare*float64(slots)))
	}
	if s.calls.inFlight[c.Service] >= slots {
		return tooManyCalls(mangomodel.PeerName(c.Service), callRetryAfter, "the slots of the service are taken")
	}
	if c.Entry {
		if err := s.takeEntry(now); err != nil {
			return err
		}
	}
	s.calls.inFlight[c.Service]++
	return nil
}

// takeEntry takes one entry from this daemon's share of the table service's
// writes.
func (s *state) takeEntry(now time.Time) error {
	daemons, dataCentres := s.sharers()
	perSecond := s.calls.tableWrites / writesPerEntry / float64(daemons*dataCentres)
	s.calls.entries.SetLimitAt(now, rate.Limit(perSecond))
	r := s.calls.entries.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	r.CancelAt(now)
	return tooManyCalls("table", wait, "the share of the table service's writes is used up")
}

// EndCall gives a slot of a plain service back.
type EndCall struct{ Service mangomodel.ModelID }

// Apply implements [mangoloop.Command].
func (c EndCall) Apply(s *state, _ time.Time) error {
	s.calls.inFlight[c.Service]--
	return nil
}

// SetTableWrites sets the budget of all daemons together, in writes a second.
type SetTableWrites struct{ PerSecond float64 }

// Apply implements [mangoloop.Command].
func (c SetTableWrites) Apply(s *state, _ time.Time) error {
	s.calls.tableWrites = c.PerSecond
	return nil
}

func tooManyCalls(peer mangomodel.PeerName, after time.Duration, text string) error {
	f := mangomodel.Faultf(mangomodel.StepAdmission, peer, mangomodel.CodeOverloaded, mangomodel.RunNot, "%s", text)
	f.RetryAfter = after
	return f
}
