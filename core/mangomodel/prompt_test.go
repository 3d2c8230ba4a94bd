package mangomodel

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

func TestAffinity(t *testing.T) {
	const requests, shards = 1000, 4
	tests := []struct {
		name   string
		prompt func(i int) string
		// minimum is the smallest allowed number of requests of a shard; zero
		// means that one shard gets all requests.
		minimum int
	}{
		{"short prompts are distributed", func(i int) string { return fmt.Sprint("hat ", i) }, requests / shards / 2},
		{"different prefixes are distributed", func(i int) string { return fmt.Sprint(i) + strings.Repeat("log ", 300) }, requests / shards / 2},
		{"a common prefix selects one shard", func(i int) string { return strings.Repeat("log ", 300) + fmt.Sprint(i) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var counts [shards]int
			for i := range requests {
				p := tt.prompt(i)
				counts[AffinityOf(PrefixHashes(p), FingerprintOf("w", p))%shards]++
			}
			for _, n := range counts {
				g.Expect(n).To(gomega.BeNumerically(">=", tt.minimum), "%v", counts)
				g.Expect(n == 0 || n == requests || tt.minimum > 0).To(gomega.BeTrue(), "%v", counts)
			}
		})
	}
}

func TestPrefixHashes(t *testing.T) {
	g := gomega.NewWithT(t)
	long := strings.Repeat("abcd", 3000)
	hashes := PrefixHashes(long)
	g.Expect(hashes).To(gomega.HaveLen(4), "256, 512, 1024 and 2048 of 3000 tokens")
	g.Expect(PrefixTokens(3)).To(gomega.BeEquivalentTo(2048))
	other := PrefixHashes(long[:4*600] + "x")
	g.Expect(other).To(gomega.Equal(hashes[:2]))
	g.Expect(PrefixHashes("short")).To(gomega.BeEmpty())
}

func TestPiecesFor(t *testing.T) {
	for n, want := range map[Tokens]Pieces{0: 0, 1: 1, 2000: 1, 2001: 2, -5: 0} {
		gomega.NewWithT(t).Expect(PiecesFor(n, 2000)).To(gomega.Equal(want), "%d tokens", n)
	}
}
