package mangoroster

import "mangolane/core/mangomodel"

// Has reports whether another daemon with an address is recorded.
func (r *Roster) Has(addr mangomodel.Address) bool {
	for _, p := range r.peers {
		if p.member.Address == addr {
			return true
		}
	}
	return false
}
