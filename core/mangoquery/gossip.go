package mangoquery

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
)

const (
	// updatesPerMessage bounds the member records in one exchange message.
	updatesPerMessage = 8
	// suspicionsPerMessage bounds the suspicions in one exchange message.
	suspicionsPerMessage = 32
)

// UpdatesFor returns the member records of the next exchange message to a
// daemon: this daemon's own record, then the pending updates or, for a daemon
// of another data centre, a sample of the local daemons. The recorded state of
// the receiver is included, so that the receiver can refute it. A receiver
// without a record gets all reachable peers.
func (s *Snapshot) UpdatesFor(to mangomember.Member) []mangomember.Member {
	updates := []mangomember.Member{s.Self}
	recorded, ok := s.Member(to.Daemon)
	if !ok {
		return append(updates, filterReachable(s.Peers())...)
	}
	if to.DataCentre == s.Self.DataCentre {
		updates = append(updates, s.PendingUpdates[:min(len(s.PendingUpdates), updatesPerMessage)]...)
	} else {
		updates = append(updates, s.localSample(to.Daemon)...)
	}
	return append(updates, recorded)
}

// SuspicionsToSend returns the suspicions of the next exchange message, most
// recent first.
func (s *Snapshot) SuspicionsToSend() []mangomodel.Suspicion {
	list := slices.Clone(s.Suspicions)
	slices.SortFunc(list, func(a, b mangomodel.Suspicion) int { return b.Last.Compare(a.Last) })
	return list[:min(len(list), suspicionsPerMessage)]
}

// Peers returns the other daemons of the local data centre.
func (s *Snapshot) Peers() []mangomember.Member {
	return s.others(func(m mangomember.Member) bool { return m.DataCentre == s.Self.DataCentre })
}

// RemoteMembers returns the recorded daemons of other data centres.
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

// localSample returns a bounded selection of the reachable daemons of the local
// data centre. The selection depends on the receiver.
func (s *Snapshot) localSample(to mangomodel.DaemonID) []mangomember.Member {
	return rotate(filterReachable(s.Peers()), xxhash.Sum64String(string(to)), mangomember.RemoteMembersPerDataCentre-1)
}

// NotifyTargets returns the daemons to notify of a change: one of each other
// data centre and up to n of the local one. The key varies the choice.
func (s *Snapshot) NotifyTargets(key uint64, n int) []mangomember.Member {
	hash := xxhash.Sum64String(string(s.Self.Daemon) + KeyOf(key))
	return append(s.RemoteTargets(hash), rotate(filterReachable(s.Peers()), hash, n)...)
}

// RemoteTargets returns one daemon of each other data centre, preferring
// reachable ones. The key varies the choice.
func (s *Snapshot) RemoteTargets(key uint64) []mangomember.Member {
	byDC := make(map[mangomodel.DataCentreID][]mangomember.Member)
	for _, m := range s.RemoteMembers() {
		byDC[m.DataCentre] = append(byDC[m.DataCentre], m)
	}
	var targets []mangomember.Member
	for _, dc := range slices.Sorted(maps.Keys(byDC)) {
		candidates := byDC[dc]
		if up := filterReachable(slices.Clone(candidates)); len(up) > 0 {
			candidates = up
		}
		targets = append(targets, rotate(candidates, key, 1)...)
	}
	return targets
}

// RejoinCandidates returns at most one daemon of the local data centre that is
// recorded as dead and may have restarted. The key varies the choice.
func (s *Snapshot) RejoinCandidates(key uint64) []mangomember.Member {
	dead := slices.DeleteFunc(s.Peers(), func(m mangomember.Member) bool { return m.State != mangomember.Dead })
	return rotate(dead, key, 1)
}

// HasAddress reports whether any recorded daemon has the address.
func (s *Snapshot) HasAddress(addr mangomodel.Address) bool {
	return slices.ContainsFunc(s.Members, func(m mangomember.Member) bool { return m.Address == addr })
}

func filterReachable(members []mangomember.Member) []mangomember.Member {
	return slices.DeleteFunc(members, func(m mangomember.Member) bool { return !m.Reachable() })
}

// rotate returns up to n members, starting at the index that the key selects
// and wrapping around.
func rotate(members []mangomember.Member, key uint64, n int) []mangomember.Member {
	var chosen []mangomember.Member
	for i := range min(n, len(members)) {
		chosen = append(chosen, members[(int(key%uint64(len(members)))+i)%len(members)])
	}
	return chosen
}
