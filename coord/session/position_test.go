package session_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/session"
)

func TestPositionOrderAndWireRoundTrip(t *testing.T) {
	is := is.New(t)
	lower := session.Position{Term: 1, Offset: 900}
	higher := session.Position{Term: 2, Offset: 10}
	is.True(lower.Less(higher)) // terms are compared before offsets
	is.Equal(lower.Max(higher), higher)
	is.Equal(session.FromWire(higher.Wire()), higher)
}

func FuzzParsePosition(f *testing.F) {
	f.Add("1/2A")
	f.Add("/")
	f.Fuzz(func(t *testing.T, token string) {
		p, err := session.ParsePosition(token)
		if err != nil {
			return
		}
		if parsed, err := session.ParsePosition(p.String()); err != nil || parsed != p {
			t.Fatalf("%q parses to %v, which round-trips to %v", token, p, parsed)
		}
	})
}
