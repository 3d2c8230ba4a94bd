// Package mangoproof_test holds the proofs of what must always hold. They run
// real control states, workers and generators over emulated engines and an
// emulated platform, in a bubble whose clock they advance.
package mangoproof_test

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// TestMain fixes the seed of random tests, so that they give the same verdict
// every time.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// longestCleanup is longer than anything that outlives its request.
const longestCleanup = 15 * time.Minute

// outer is the test that the suite runs in; bubbles need it.
var outer *testing.T

func TestProofs(t *testing.T) {
	outer = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	ginkgo.RunSpecs(t, "proofs", suite, reporter)
}

// bubble runs a spec in a bubble of its own and ends all that it started.
func bubble(f func(ctx context.Context, g *gomega.WithT)) func() {
	return func() {
		synctest.Test(outer, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				time.Sleep(longestCleanup)
			}()
			f(ctx, gomega.NewWithT(t))
		})
	}
}
