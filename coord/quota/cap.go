package quota

const (
	// allowedExtra is the number of operations above rate and burst that a window may have. Half of
	// the 20 that the requirement allows is left for attempts that reach two servers.
	allowedExtra = 10
	// allowedExcess is the number of seconds of the rate that a window may have in excess: a window has
	// 5 s, of which 10% may be exceeded; half of that is left as above.
	allowedExcess = 0.25
)

// Cap is the usage cap of a workspace.
type Cap struct {
	// Rate is in operations per second.
	Rate  float64
	Burst int
}

// Limit returns the most operations that the pool and all owners may have at one time.
func (c Cap) Limit() float64 { return float64(c.Burst) + allowedExtra + allowedExcess*c.Rate }
