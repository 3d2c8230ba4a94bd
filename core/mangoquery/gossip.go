package mangoquery

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
)

const (
	// updatesPerMessage bounds the records of daemons on one message.
	updatesPerMessage = 8
	// suspicionsPerMessage bounds the suspicions on one message.
	suspicionsPerMessage = 32
)

// UpdatesFor returns the records to put on the next message to a daemon: this
// daemon's own, then the changes that still travel or, for another data
// centre, contacts. What is believed of the receiver is included, so that it
// can refute. A receiver that is not known yet is told of all peers.
func (s *Snapshot) UpdatesFor(to mangomember.Member) []mangomember.Member {
	updates := []mangomember.Member{s.Self}
	believed, known := s.Member(to.Daemon)
	if !known {
		return append(updates, reachable(s.Peers())...)
	}
	if to.DataCentre == s.Self.DataCentre {
		updates = append(updates, s.PendingUpdates[:min(len(s.PendingUpdates), updatesPerMessage)]...)
	} else {
		updates = append(updates, s.contacts(to.Daemon)...)
	}
	return append(updates, believed)
}

// SuspicionsToSend returns the suspicions to put on the next message, the
// latest first.
func (s *Snapshot) SuspicionsToSend() []mangomodel.Suspicion {
	list := slices.Clone(s.Suspicions)
	slices.SortFunc(list, func(a, b mangomodel.Suspicion) int { return b.Last.Compare(a.Last) })
	return list[:min(len(list), suspicionsPerMessage)]
}

// Peers returns the daemons of the own data centre other than this one.
func (s *Snapshot) Peers() []mangomember.Member {
	return s.others(func(m mangomember.Member) bool { return m.DataCentre == s.Self.DataCentre })
}

// RemoteMembers returns the known daemons of other data centres.
func (s *Snapshot) RemoteMembers() []mangomember.Member {
	return s.others(func(m mangomember.Member) bool { return m.DataCentre != s.Self.DataCentre })
}

func (s *Snapshot) others(keep func(mangomember.Member) bool) []mangomember.Member {
	var list []mangomember.Member
	for _, m := range s.Members {
		if m.Daemon != s.Self.Daemon && keep(m) {
			list = append(list, m)
		}
	}
	return list
}

// contacts returns some reachable daemons of the own data centre. Different
// receivers are told of different ones.
func (s *Snapshot) contacts(to mangomodel.DaemonID) []mangomember.Member {
	return rotate(reachable(s.Peers()), xxhash.Sum64String(string(to)), mangomember.RemoteMembersPerDataCentre-1)
}

// NotifyTargets returns the daemons to tell of news: up to n of the own data centre
// and one of each other one. The key varies the choice.
func (s *Snapshot) NotifyTargets(key uint64, n int) []mangomember.Member {
	mix := xxhash.Sum64String(string(s.Self.Daemon) + KeyOf(key))
	return append(s.RemoteTargets(mix), rotate(reachable(s.Peers()), mix, n)...)
}

// RemoteTargets returns one daemon of each other data centre, a reachable one if
// there is any. The key varies the choice.
func (s *Snapshot) RemoteTargets(key uint64) []mangomember.Member {
	byDC := make(map[mangomodel.DataCentreID][]mangomember.Member)
	for _, m := range s.RemoteMembers() {
		byDC[m.DataCentre] = append(byDC[m.DataCentre], m)
	}
	var targets []mangomember.Member
	for _, dc := range slices.Sorted(maps.Keys(byDC)) {
		candidates := byDC[dc]
		if up := reachable(slices.Clone(candidates)); len(up) > 0 {
			candidates = up
		}
		targets = append(targets, rotate(candidates, key, 1)...)
	}
	return targets
}

// RejoinCandidates returns a daemon of the own data centre that was found dead and may
// be back, if there is any. The key varies the choice.
func (s *Snapshot) RejoinCandidates(key uint64) []mangomember.Member {
	dead := slices.DeleteFunc(s.Peers(), func(m mangomember.Member) bool { return m.State != mangomember.Dead })
	return rotate(dead, key, 1)
}

// HasAddress reports whether some daemon has an address.
func (s *Snapshot) HasAddress(addr mangomodel.Address) bool {
	return slices.ContainsFunc(s.Members, func(m mangomember.Member) bool { return m.Address == addr })
}

func reachable(members []mangomember.Member) []mangomember.Member {
	return slices.DeleteFunc(members, func(m mangomember.Member) bool { return !m.Reachable() })
}

// rotate returns up to n members, starting at one that the key chooses.
func rotate(members []mangomember.Member, key uint64, n int) []mangomember.Member {
	var chosen []mangomember.Member
	for i := range min(n, len(members)) {
		chosen = append(chosen, members[(int(key%uint64(len(members)))+i)%len(members)])
	}
	return chosen
}
