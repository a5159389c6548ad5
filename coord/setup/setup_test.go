package setup_test

import (
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilcourse/coord/internal/fixedseed"
	"trefoilcourse/coord/setup"
)

func TestMain(m *testing.M) { fixedseed.Main(m, 300) }

// server is a naive connection that carries steps out.
type server struct {
	values   map[string]string
	prepared map[string]bool
}

func (s *server) carryOut(steps setup.Steps) {
	if steps.Reset {
		clear(s.values)
		clear(s.prepared)
	}
	for _, v := range steps.Set {
		s.values[v.Name] = v.Value
	}
	if steps.Prepare != "" {
		s.prepared[steps.Prepare] = true
	}
}

// TestEverySessionFindsItsOwnState has sessions with different values share one connection.
func TestEverySessionFindsItsOwnState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &server{values: map[string]string{}, prepared: map[string]bool{}}
		var c setup.Connection
		values := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.SampledFrom([]string{"1", "2"}), 0, 3)
		for range rapid.IntRange(1, 20).Draw(t, "uses") {
			wanted := values.Draw(t, "wanted")
			definition := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "definition")
			steps := setup.Plan(c, wanted, definition)
			s.carryOut(steps)
			c = c.Apply(steps)
			if !maps.Equal(s.values, wanted) {
				t.Fatalf("the session set %v and finds %v", wanted, s.values)
			}
			if definition != "" && !s.prepared[definition] {
				t.Fatalf("%q is not prepared", definition)
			}
			if !setup.Plan(c, wanted, definition).Empty() {
				t.Fatalf("the connection is ready, and more is planned")
			}
		}
	})
}

func TestDistance(t *testing.T) {
	is := is.New(t)
	c := setup.Connection{}.Apply(setup.Steps{Set: []setup.Setting{{Name: "a", Value: "1"}}, Prepare: "x"})
	is.Equal(c.Distance(map[string]string{"a": "1"}), 0)
	is.Equal(c.Distance(map[string]string{"a": "2"}), 1)
	is.Equal(c.Distance(map[string]string{}), 2) // a reset loses what is prepared
}
