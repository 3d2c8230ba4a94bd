package mangofleet

import (
	"cmp"
	"slices"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// aliveTime is how long after it was heard a daemon counts as alive. Every
	// daemon is heard by the schedulers each RenewInterval, and by the others
	// through their answers.
	aliveTime = 2 * time.Second
	// freshTime is how old the list of a scheduler may be: a read that found
	// nothing, and the time for one that failed.
	freshTime = 1200 * time.Millisecond
	// informedTime is how old the list of another daemon may be: a fresh list
	// and a renewal.
	informedTime = freshTime + RenewInterval
	// failedTime is how long a daemon that did not answer is passed over.
	failedTime = time.Second
	// forgetTime is how long a daemon that is gone stays known.
	forgetTime = 10 * time.Second
	// newsMembers is how many daemons a message names: those that may become
	// scheduler next. The scheduler itself hears all of them.
	newsMembers = 6
)

// Member is one daemon life.
type Member struct {
	Holder     mangomodel.Holder
	DataCentre mangomodel.DataCentreID
	// Address is where it serves other daemons.
	Address mangomodel.Address
	// Strong members have the processor and the link for scheduling a large
	// fleet.
	Strong bool
	// Draining members schedule nothing, and Stale ones, whose list of servers
	// may be out of date, only if all are.
	Draining, Stale bool
}

// Sighting is a member with the time since it was last heard.
type Sighting struct {
	Member Member
	Age    time.Duration
}

// Heard is a member with the time at which it was last heard.
type Heard struct {
	Member Member
	At     time.Time
}

type peer struct {
	member      Member
	heard       time.Time
	failedUntil time.Time
}

// Hear takes in what is known of daemons.
type Hear struct{ Sightings []Sighting }

// Apply applies the command.
func (c Hear) Apply(s *state, now time.Time) error {
	for _, x := range c.Sightings {
		s.hear(x, now)
	}
	return nil
}

// PeerFailed says that a daemon did not answer.
type PeerFailed struct{ Daemon mangomodel.DaemonID }

// Apply applies the command.
func (c PeerFailed) Apply(s *state, now time.Time) error {
	if p, ok := s.peers[c.Daemon]; ok {
		p.failedUntil = now.Add(failedTime)
		s.changed.members = true
	}
	return nil
}

func (s *state) hear(x Sighting, now time.Time) {
	id := x.Member.Holder.Daemon
	if id == s.self.Holder.Daemon || id == "" {
		return
	}
	heard := now.Add(-x.Age)
	p, ok := s.peers[id]
	if !ok {
		p = &peer{}
		s.peers[id] = p
		s.changed.members = true
	}
	if x.Member.Holder.Incarnation < p.member.Holder.Incarnation {
		return
	}
	if x.Member.Holder.Incarnation > p.member.Holder.Incarnation {
		p.failedUntil = time.Time{}
	}
	if heard.After(p.heard) {
		p.heard, p.member = heard, x.Member
	}
}

// members returns this daemon and those that may be alive.
func (s *state) members(now time.Time) []Heard {
	list := []Heard{{Member: s.me(now), At: now}}
	for id, p := range s.peers {
		if now.Sub(p.heard) > forgetTime {
			delete(s.peers, id)
			continue
		}
		list = append(list, Heard{Member: p.member, At: p.heard})
	}
	return list
}

// schedulers returns for each service the daemons that may schedule it and
// count its retries, best first. Daemons in the region with most of its servers go
// first, since most grants are asked for there; rendezvous hashing spreads
// services over them.
func (s *state) schedulers(now time.Time) map[mangotraffic.ServiceName][]Member {
	candidates := s.candidates(now)
	weights := make(map[mangotraffic.ServiceName]map[mangomodel.RegionID]int)
	for _, b := range s.backends {
		if weights[b.server.Service] == nil {
			weights[b.server.Service] = make(map[mangomodel.RegionID]int)
		}
		weights[b.server.Service][s.self.Regions[b.server.DataCentre]]++
	}
	lists := make(map[mangotraffic.ServiceName][]Member, len(weights))
	for name, weight := range weights {
		list := slices.Clone(candidates)
		slices.SortFunc(list, func(a, b Member) int {
			return cmp.Or(
				cmp.Compare(weight[s.self.Regions[b.DataCentre]], weight[s.self.Regions[a.DataCentre]]),
				cmp.Compare(mix(hashOf(string(name)), string(b.Holder.Daemon)), mix(hashOf(string(name)), string(a.Holder.Daemon))),
			)
		})
		lists[name] = list
	}
	return lists
}

// candidates returns the daemons that may schedule, this one included.
func (s *state) candidates(now time.Time) []Member {
	list := []Member{s.me(now)}
	for _, p := range s.peers {
		if now.Sub(p.heard) < aliveTime && !now.Before(p.failedUntil) {
			list = append(list, p.member)
		}
	}
	list = unless(list, func(m Member) bool { return m.Draining })
	list = unless(list, func(m Member) bool { return !m.Strong })
	return unless(list, func(m Member) bool { return m.Stale })
}

// unless returns the members without those that are worse, if any are left.
func unless(list []Member, worse func(Member) bool) []Member {
	better := slices.DeleteFunc(slices.Clone(list), worse)
	if len(better) == 0 {
		return list
	}
	return better
}

// me returns this daemon as the others see it.
func (s *state) me(now time.Time) Member {
	m := s.self.Member
	m.Draining, m.Stale = s.draining, now.Sub(s.listRead) > freshTime
	return m
}

// mix spreads a salt and an id over the numbers (FNV-1a).
func mix(salt uint64, id string) uint64 {
	const prime = 1099511628211
	h := salt * prime
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * prime
	}
	return h ^ h>>29
}

func hashOf(id string) uint64 {
	const offset = 14695981039346656037
	return mix(offset, id)
}
