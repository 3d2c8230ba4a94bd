// Package mangoproof_test checks the guarantees of a cluster under faults and
// load. The specs run real control states, workers and generators over emulated
// engines and an emulated platform, in a [synctest] bubble with a fake clock.
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

// TestMain fixes the seed of the random tests to make their results
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// cleanupTime is how long a bubble runs on after its context is cancelled. It is
// longer than any activity that outlives its request.
const cleanupTime = 15 * time.Minute

// suiteT is the test that runs the suite. [synctest.Test] requires a testing.T.
var suiteT *testing.T

func TestProofs(t *testing.T) {
	suiteT = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	ginkgo.RunSpecs(t, "proofs", suite, reporter)
}

// bubble returns a function that runs f in a synctest bubble of its own. When f
// returns, its context is cancelled and everything started with it stops.
func bubble(f func(ctx context.Context, g *gomega.WithT)) func() {
	return func() {
		synctest.Test(suiteT, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				time.Sleep(cleanupTime)
			}()
			f(ctx, gomega.NewWithT(t))
		})
	}
}
