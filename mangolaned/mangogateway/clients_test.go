package mangogateway

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/mangolaned/mangosettings"
)

// TestLinesOfClosedConnectionsAreBounded guards against a log line for each connection that
// clients make the daemon close.
func TestLinesOfClosedConnectionsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var c occurrences
	now := time.Unix(1000, 0)
	lines, events := 0, 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if n, ok := c.add("front.Connections", now); ok {
			lines++
			events += n
		}
	}
	g.Expect(lines).To(gomega.Equal(2))
	g.Expect(events).To(gomega.Equal(5001))
	n, ok := c.add("peer.Slow", now)
	g.Expect(ok).To(gomega.BeTrue(), "each reason has lines of its own")
	g.Expect(n).To(gomega.Equal(1))
}

// TestConnectionsFollowFromMemoryAndDescriptors guards against connections that alone exceed
// the memory, and against too few for ordinary clients.
func TestConnectionsFollowFromMemoryAndDescriptors(t *testing.T) {
	g := gomega.NewWithT(t)
	for memory := mangomodel.Bytes(8 << 20); memory <= 1<<30; memory *= 2 {
		l := frontLimits(mangosettings.Gateway{BodyMemory: memory})
		g.Expect(l.Connections).To(gomega.BeNumerically(">=", minConnections))
		g.Expect(l.Connections).To(gomega.BeNumerically("<=", mangorest.DescriptorShare(frontShare, minConnections)))
		taken := mangomodel.Bytes(l.Connections)*mangorest.ConnectionCost + l.HeadMemory
		g.Expect(taken).To(gomega.BeNumerically("<", memory/2))
	}
	l := frontLimits(mangosettings.Gateway{BodyMemory: 8 << 20, ClientConnections: 5000, HeadMemory: 1 << 30})
	g.Expect(l.Connections).To(gomega.Equal(5000))
	g.Expect(l.HeadMemory).To(gomega.BeEquivalentTo(1 << 30))
}
