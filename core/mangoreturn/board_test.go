package mangoreturn

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

var start = time.Unix(1_000, 0)

// TestReturnsAsTold guards against clients that go before others although they came at
// another time than told, or twice.
func TestReturnsAsTold(t *testing.T) {
	const told = 600 * time.Millisecond
	tests := []struct {
		after time.Duration
		want  bool
	}{
		{0, false}, {told - early - 1, false}, {told - early, true}, {told, true}, {told + grace, true}, {told + grace + 1, false},
	}
	for _, test := range tests {
		g := gomega.NewWithT(t)
		b := New()
		b.Told(7, told, start)
		g.Expect(b.Returned(8, start.Add(test.after))).To(gomega.BeFalse())
		g.Expect(b.Returned(7, start.Add(test.after))).To(gomega.Equal(test.want), "%v", test.after)
		g.Expect(b.Returned(7, start.Add(told))).To(gomega.BeFalse(), "again")
	}
}

// TestBoardIsBounded guards against a board that grows with every refused call.
func TestBoardIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New()
	for i := range 3 * maxRecords {
		b.Told(mangomodel.Fingerprint(i+1), time.Second, start)
	}
	g.Expect(b.Len()).To(gomega.Equal(maxRecords))
	b.Told(1, time.Second, start.Add(3*time.Second))
	g.Expect(b.Len()).To(gomega.Equal(1))
	b.Told(0, time.Second, start)
	b.Told(2, 0, start)
	g.Expect(b.Len()).To(gomega.Equal(1), "without a fingerprint or a time")
}

// TestAfterIsWhatClientsWaitFor guards against times for which no client waits.
func TestAfterIsWhatClientsWaitFor(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(After(time.Second, 10*time.Second)).To(gomega.Equal(time.Second))
	g.Expect(After(9*time.Second, 10*time.Second)).To(gomega.Equal(3 * time.Second))
	g.Expect(After(0, 10*time.Second)).To(gomega.Equal(3 * time.Second))
}
