package clock_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/clock"
)

// TestNeverBack also sees that the time is not that of day, which jumps.
func TestNeverBack(t *testing.T) {
	is := is.New(t)
	before := clock.Now()
	for range 1000 {
		now := clock.Now()
		is.True(!now.Before(before))
		before = now
	}
	is.True(before.Year() < 2000) // counted from the machine's start
}
