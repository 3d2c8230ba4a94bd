package mangosuspect

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests to make their results
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
