// Package fixedseed makes property tests give the same verdict at every run.
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

// Main runs the tests with a fixed seed and a number of checks for each property, unless
// -rapid.seed names another seed.
func Main(m *testing.M, checks int) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
		_ = flag.Set("rapid.checks", strconv.Itoa(checks))
	}
	os.Exit(m.Run())
}
