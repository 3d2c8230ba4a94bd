package mangobackoff

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

var (
	server = mangotraffic.ServerRef{ID: "s", Address: "x", Born: time.UnixMilli(5)}
	d1     = mangomodel.Holder{Daemon: "d1"}
	d2     = mangomodel.Holder{Daemon: "d2"}
)

// TestParse guards against one figure that takes a server out for good, that ends the
// process, or that hides the valid one beside it.
func TestParse(t *testing.T) {
	tests := []struct {
		values []string
		want   time.Duration
		ok     bool
	}{
		{nil, 0, true}, {[]string{"0"}, 0, true}, {[]string{"0.4"}, 400 * time.Millisecond, true}, {[]string{" 3 "}, 3 * time.Second, true},
		{[]string{"1e9"}, Longest, false}, {[]string{"1e400"}, 0, false}, {[]string{"+Inf"}, 0, false}, {[]string{"-Inf"}, 0, false},
		{[]string{"-1"}, 0, false}, {[]string{"NaN"}, 0, false}, {[]string{""}, 0, false}, {[]string{"soon"}, 0, false},
		{[]string{"Sat, 05 Dec 2026 06:00:00 GMT"}, 0, false},
		{[]string{"0.4", "3"}, 3 * time.Second, true}, {[]string{"3", "NaN"}, 3 * time.Second, false},
	}
	for _, test := range tests {
		g := gomega.NewWithT(t)
		d, err := Parse(test.values)
		g.Expect(d).To(gomega.Equal(test.want), "%q", test.values)
		g.Expect(err == nil).To(gomega.Equal(test.ok), "%q", test.values)
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"3", "1e-400", "0x1p-2", "9223372036.9"} {
		f.Add(text, text)
	}
	f.Fuzz(func(t *testing.T, first, second string) {
		if d, _ := Parse([]string{first, second}); d < 0 || d > Longest {
			t.Fatalf("%q, %q: %v", first, second, d)
		}
	})
}

// TestTimeHoldsForOneDaemonAndIncarnation guards against a time that keeps others from a
// server, or that an answer of an earlier incarnation starts.
func TestTimeHoldsForOneDaemonAndIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	now, b := time.Now(), New()
	g.Expect(b.Add(server, d1, time.Second, now)).To(gomega.BeTrue())
	for _, again := range []time.Duration{-time.Second, 0, time.Millisecond, time.Second} {
		g.Expect(b.Add(server, d1, again, now)).To(gomega.BeFalse(), "schedulers need not be told at once")
	}
	g.Expect(b.Open(server, d1, now.Add(time.Second-1))).To(gomega.BeFalse(), "a shorter time does not end a longer one")
	g.Expect(b.Open(server, d1, now.Add(time.Second))).To(gomega.BeTrue())
	g.Expect(b.Open(server, d2, now)).To(gomega.BeTrue())
	g.Expect(b.Asked(server, now)).To(gomega.Equal(1))
	earlier, later := server, server
	earlier.Born, later.Born = server.Born.Add(-time.Second), server.Born.Add(time.Second)
	b.Add(earlier, d2, time.Second, now)
	g.Expect(b.Open(server, d2, now)).To(gomega.BeTrue())
	g.Expect(b.Open(later, d1, now)).To(gomega.BeTrue())
	b.Listed(later)
	g.Expect(b.Ends(d1)).To(gomega.BeEmpty())
}

// TestCallsReturnGradually guards against a herd at the end of the time, of one daemon or
// of all whose calls this board places.
func TestCallsReturnGradually(t *testing.T) {
	g := gomega.NewWithT(t)
	now, b := time.Now(), New()
	b.Add(server, d1, time.Second, now)
	b.Add(server, d2, time.Second, now)
	end := now.Add(time.Second)
	var starts []int
	for step := range ramp / rampStep {
		n := 0
		for at := time.Duration(0); at < rampStep; at += time.Millisecond {
			for _, h := range []mangomodel.Holder{d1, d2} {
				if now := end.Add(step*rampStep + at); b.Open(server, h, now) {
					b.Started(server, h, now)
					n++
				}
			}
		}
		starts = append(starts, n)
	}
	g.Expect(starts).To(gomega.Equal([]int{1, 2, 4, 8, 16, 32}))
	g.Expect(b.Restricts(d1, end.Add(ramp-1))).To(gomega.BeTrue())
	g.Expect(b.Restricts(d1, end.Add(ramp))).To(gomega.BeFalse())
	b.Expire(end.Add(ramp))
	g.Expect(b.servers).To(gomega.BeEmpty())
}

// TestRepeatedReportsDoNotProlong guards against a time that grows with each report of it
// that the network delays.
func TestRepeatedReportsDoNotProlong(t *testing.T) {
	g := gomega.NewWithT(t)
	now, b := time.Now(), New()
	for i := range 4 {
		passed := time.Duration(i) * 250 * time.Millisecond
		delay := time.Duration(i) * 100 * time.Millisecond
		b.Renew(d2, []Entry{{server, 2*time.Second - passed}}, now.Add(passed+delay))
	}
	g.Expect(b.Until(server, d2)).To(gomega.Equal(now.Add(2 * time.Second)))
	b.Renew(d2, []Entry{{server, 5 * time.Second}}, now)
	g.Expect(b.Until(server, d2)).To(gomega.Equal(now.Add(5 * time.Second)))
}

// TestClientsReturnSpread guards against clients that are all told the same moment.
func TestClientsReturnSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	perTenth := make(map[time.Duration]int)
	for number := range uint64(100) {
		after := ReturnAfter(time.Second, number)
		g.Expect(after).To(gomega.BeNumerically(">=", time.Second))
		perTenth[(after-time.Second)/(spread/10)]++
	}
	for i := range uint64(1000) {
		g.Expect(ReturnAfter(time.Second, i*0x123456789abcdef1)).To(gomega.BeNumerically("~", time.Second+spread/2, spread/2))
	}
	for tenth, n := range perTenth {
		g.Expect(n).To(gomega.BeNumerically("<=", 12), "%d", tenth)
	}
	g.Expect(perTenth).To(gomega.HaveLen(10))
}
