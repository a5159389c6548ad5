package raft_test

import (
	"testing"

	"trefoilcourse/coord/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m, 1500) }
