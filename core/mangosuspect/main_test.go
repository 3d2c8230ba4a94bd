package mangosuspect

import (
	"flag"
	"os"
	"testing"
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
