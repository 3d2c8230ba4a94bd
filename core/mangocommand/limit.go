package mangocommand

import (
	"time"

	"golang.org/x/time/rate"

	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
)

const (
	// DefaultTableWrites is the rate limit, in writes per second, of all
	// daemons together for entries in the table service.
	DefaultTableWrites = 300
	// writesPerEntry is the number of rows that one entry writes.
	writesPerEntry = 2
	// entryBurst is the burst size of the limiter, in entries.
	entryBurst = 10
	// retryableShare is the fraction of a service's slots available to
	// retryable calls; the rest is reserved for entries.
	retryableShare = 0.8
	// callRetryAfter is the RetryAfter of a fault for a service whose slots
	// are all in use.
	callRetryAfter = 500 * time.Millisecond
)

// callLimits bounds a daemon's application calls to its share of the table
// service's writes and of each plain service's slots.
type callLimits struct {
	// tableWrites is the budget of all daemons together, in writes per second.
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

// shareCounts returns the number of daemons of the local data centre that are not
// dead, and the number of data centres with backend servers. Both are at least 1.
func (s *state) shareCounts() (daemons, dataCentres int) {
	self := s.members.Self()
	for _, m := range s.members.Members() {
		if m.DataCentre == self.DataCentre && (m.MayOwnShards() || m.State == mangomember.Leaving) {
			daemons++
		}
	}
	return max(daemons, 1), max(s.catalog.DataCentres(), 1)
}

// serviceSlots returns how many calls to a service this daemon may have in
// flight: its share of the slots in its data centre or, if there are none, of
// the slots in all data centres.
func (s *state) serviceSlots(service mangomodel.ModelID) int {
	local, total := 0, 0
	for _, h := range s.catalog.Services(service) {
		if h.State != mangomodel.ServerLive {
			continue
		}
		total += int(h.Slots)
		if h.DataCentre == s.members.Self().DataCentre {
			local += int(h.Slots)
		}
	}
	daemons, dataCentres := s.shareCounts()
	if local == 0 {
		return max(1, total/(daemons*dataCentres))
	}
	return max(1, local/daemons)
}

// BeginCall takes a slot of a plain service and, for an entry (a call that is
// recorded in the table service), the writes of its rows from this daemon's
// share. It fails with CodeOverloaded if
// either is exhausted.
type BeginCall struct {
	Service mangomodel.ModelID
	Entry   bool
}

// Apply implements [mangoloop.Command].
func (c BeginCall) Apply(s *state, now time.Time) error {
	slots := s.serviceSlots(c.Service)
	if !c.Entry {
		slots = max(1, int(retryableShare*float64(slots)))
	}
	if s.calls.inFlight[c.Service] >= slots {
		return overloadedFault(mangomodel.PeerName(c.Service), callRetryAfter, "this daemon's slots of the service are all in use")
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
	daemons, dataCentres := s.shareCounts()
	perSecond := s.calls.tableWrites / writesPerEntry / float64(daemons*dataCentres)
	s.calls.entries.SetLimitAt(now, rate.Limit(perSecond))
	r := s.calls.entries.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	r.CancelAt(now)
	return overloadedFault("table", wait, "this daemon's share of the table service's writes is exhausted")
}

// EndCall returns a slot of a plain service.
type EndCall struct{ Service mangomodel.ModelID }

// Apply implements [mangoloop.Command].
func (c EndCall) Apply(s *state, _ time.Time) error {
	s.calls.inFlight[c.Service]--
	return nil
}

// SetTableWrites sets the budget of all daemons together, in writes per second.
type SetTableWrites struct{ PerSecond float64 }

// Apply implements [mangoloop.Command].
func (c SetTableWrites) Apply(s *state, _ time.Time) error {
	s.calls.tableWrites = c.PerSecond
	return nil
}

func overloadedFault(peer mangomodel.PeerName, after time.Duration, text string) error {
	f := mangomodel.Faultf(mangomodel.StepAdmission, peer, mangomodel.CodeOverloaded, mangomodel.RunNot, "%s", text)
	f.RetryAfter = after
	return f
}
