// Package fixedseed makes property tests deterministic, so that every run gives the same result.
//
//	func TestMain(m *testing.M) { fixedseed.Main(m, 500) }
package fixedseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const seed = "20261204"

// Main runs the tests with a fixed seed and the given number of checks per property, unless
// -rapid.seed sets another seed.
func Main(m *testing.M, checks int) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
		_ = flag.Set("rapid.checks", strconv.Itoa(checks))
	}
	os.Exit(m.Run())
}
