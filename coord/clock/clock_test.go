package clock_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/clock"
)

// TestNowIsMonotonicSinceBoot checks that the time never goes back and is not the time of day, which
// may jump.
func TestNowIsMonotonicSinceBoot(t *testing.T) {
	is := is.New(t)
	previous := clock.Now()
	for range 1000 {
		now := clock.Now()
		is.True(!now.Before(previous))
		previous = now
	}
	is.True(previous.Year() < 2000) // counted from boot
}
