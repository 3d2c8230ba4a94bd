package mangooutage

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

// step is an event at a daemon's record: a read by some daemon, or a failed one.
type step struct {
	at     time.Duration
	failed mangomodel.DaemonID
}

func TestGrace(t *testing.T) {
	const (
		none      = -1
		minOutage = 2400 * time.Millisecond
	)
	tests := []struct {
		name   string
		others int
		steps  []step
		end    time.Duration
	}{
		{"no failure", 2, []step{{at: 0}, {at: 5 * time.Second}}, none},
		{"only the reader failed", 2, []step{{at: 0}, {time.Second, "a"}, {2 * time.Second, "a"}, {at: 5 * time.Second}}, none},
		{"only another one failed", 2, []step{{at: 0}, {time.Second, "b"}, {at: 5 * time.Second}}, none},
		{"two failed", 2, []step{{at: 0}, {time.Second, "a"}, {2 * time.Second, "b"}, {at: 5 * time.Second}}, 7 * time.Second},
		{"two failed, neither of them this one", 2, []step{{at: 0}, {time.Second, "c"}, {2 * time.Second, "b"}, {at: 5 * time.Second}}, 7 * time.Second},
		{"two failed while a third one read", 2, []step{{at: 0}, {time.Second, "a"}, {time.Second, "b"}, {at: 2 * time.Second}, {3 * time.Second, "a"}, {at: 4 * time.Second}}, none},
		{"alone", 0, []step{{at: 0}, {time.Second, "a"}, {at: 5 * time.Second}}, 7 * time.Second},
		{"alone and suspended", 0, []step{{at: 0}, {at: 5 * time.Second}}, none},
		{"short", 2, []step{{at: 0}, {time.Second, "a"}, {time.Second, "b"}, {at: minOutage - 1}}, none},
		{"before the first read", 2, []step{{time.Second, "a"}, {time.Second, "b"}, {at: 5 * time.Second}}, none},
		{"failures before the last read", 2, []step{{at: 0}, {time.Second, "a"}, {time.Second, "b"}, {at: 2 * time.Second}, {at: 6 * time.Second}}, none},
		{"another daemon regained it earlier", 2, []step{{at: 0}, {time.Second, "a"}, {time.Second, "b"}, {at: 6 * time.Second}, {at: 5 * time.Second}}, 7 * time.Second},
		{"another daemon read it just after its begin", 2, []step{{at: 0}, {time.Second, "a"}, {time.Second, "b"}, {at: 6 * time.Second}, {at: 100 * time.Millisecond}}, 8 * time.Second},
		{"another daemon read it after the failures", 2, []step{{at: 0}, {time.Second, "a"}, {time.Second, "b"}, {at: 6 * time.Second}, {at: 1100 * time.Millisecond}}, none},
		{"another daemon read it in its middle", 2, []step{{at: 0}, {time.Second, "a"}, {time.Second, "b"}, {at: 4 * time.Second}, {at: 2 * time.Second}}, none},
		{"a failure that is reported late", 2, []step{{at: 0}, {time.Second, "a"}, {at: 5 * time.Second}, {2 * time.Second, "b"}}, 7 * time.Second},
		{"failures in it and after it", 2, []step{{at: 0}, {time.Second, "a"}, {time.Second, "b"}, {5100 * time.Millisecond, "b"}, {at: 5 * time.Second}}, 7 * time.Second},
		{"a failure after it", 2, []step{{at: 0}, {time.Second, "a"}, {at: 5 * time.Second}, {6 * time.Second, "b"}}, none},
		{"later reads do not prolong it", 2, []step{{at: 0}, {time.Second, "a"}, {time.Second, "b"}, {at: 5 * time.Second}, {at: 6 * time.Second}, {at: 7 * time.Second}}, 7 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Now()
			r := New("a", minOutage)
			for _, s := range test.steps {
				if s.failed != "" {
					r.Failed(s.failed, start.Add(s.at))
				} else {
					r.Read(start.Add(s.at), test.others)
				}
			}
			for _, now := range []time.Duration{5 * time.Second, 6900 * time.Millisecond, 9 * time.Second} {
				gomega.NewWithT(t).Expect(r.Grace(start.Add(now))).To(gomega.Equal(max(test.end-now, 0)), "at %v", now)
			}
		})
	}
}
