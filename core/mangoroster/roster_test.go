package mangoroster

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

var (
	regions = map[mangomodel.DataCentreID]mangomodel.RegionID{"a1": "a", "b1": "b", "b2": "b"}
	start   = time.Unix(1000, 0)
	me      = member("me", "a1")
)

func member(id mangomodel.DaemonID, dc mangomodel.DataCentreID) Member {
	return Member{Holder: mangomodel.Holder{Daemon: id, Incarnation: 1}, DataCentre: dc, Address: mangomodel.Address(id), Strong: true}
}

// TestCandidates lists the candidates after some daemons did not respond. All were
// seen at the start; those under seen were seen again at the end.
func TestCandidates(t *testing.T) {
	tests := []struct {
		name   string
		failed []mangomodel.DaemonID
		seen   []mangomodel.DaemonID
		// after is the time from the failures to the end.
		after time.Duration
		want  []mangomodel.DaemonID
	}{
		{"none failed", nil, nil, 0, []mangomodel.DaemonID{"me", "near", "far1", "far2", "far3"}},
		{"one daemon is lost", []mangomodel.DaemonID{"far1"}, nil, 0, []mangomodel.DaemonID{"me", "near", "far2", "far3"}},
		{"a region is lost", []mangomodel.DaemonID{"far1", "far2"}, nil, 0, []mangomodel.DaemonID{"me", "near"}},
		{"two are lost and the third still responds", []mangomodel.DaemonID{"far1", "far2"}, []mangomodel.DaemonID{"far3"}, 100 * time.Millisecond,
			[]mangomodel.DaemonID{"me", "near", "far3"}},
		{"this daemon's region is never lost as a whole", []mangomodel.DaemonID{"near"}, nil, 0, []mangomodel.DaemonID{"me", "far1", "far2", "far3"}},
		{"eligible again after the exclusion time", []mangomodel.DaemonID{"far1", "far2"}, nil, exclusionTime, []mangomodel.DaemonID{"me", "near", "far1", "far2", "far3"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := New("me", regions)
			for id, dc := range map[mangomodel.DaemonID]mangomodel.DataCentreID{"near": "a1", "far1": "b1", "far2": "b2", "far3": "b2"} {
				r.Update(Sighting{Member: member(id, dc)}, start)
			}
			for _, id := range test.failed {
				r.MarkFailed(id, start.Add(200*time.Millisecond))
			}
			now := start.Add(200*time.Millisecond + test.after)
			for _, id := range test.seen {
				r.Update(Sighting{Member: member(id, "b2")}, now)
			}
			var got []mangomodel.DaemonID
			for _, m := range r.candidates(me, now) {
				got = append(got, m.Holder.Daemon)
			}
			gomega.NewWithT(t).Expect(got).To(gomega.ConsistOf(test.want))
		})
	}
}
