package raft_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the properties, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
		_ = flag.Set("rapid.checks", "1500")
	}
	os.Exit(m.Run())
}
