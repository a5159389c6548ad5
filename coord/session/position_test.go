package session_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/session"
)

func TestOrder(t *testing.T) {
	is := is.New(t)
	early := session.Position{Term: 1, Offset: 900}
	late := session.Position{Term: 2, Offset: 10}
	is.True(early.Less(late)) // the term goes first
	is.Equal(early.Max(late), late)
	is.Equal(session.FromWire(late.Wire()), late)
}

func FuzzParsePosition(f *testing.F) {
	f.Add("1/2A")
	f.Add("/")
	f.Fuzz(func(t *testing.T, token string) {
		p, err := session.ParsePosition(token)
		if err != nil {
			return
		}
		if back, err := session.ParsePosition(p.String()); err != nil || back != p {
			t.Fatalf("%q is %v, which comes back as %v", token, p, back)
		}
	})
}
