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

// fakeServer executes steps and keeps the resulting session state.
type fakeServer struct {
	values   map[string]string
	prepared map[string]bool
}

func (s *fakeServer) execute(steps setup.Steps) {
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

// TestSharedConnectionHasStateOfEachSession lets sessions with different settings share one connection;
// none may see the settings of another or lack its own.
func TestSharedConnectionHasStateOfEachSession(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeServer{values: map[string]string{}, prepared: map[string]bool{}}
		var c setup.Connection
		values := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.SampledFrom([]string{"1", "2"}), 0, 3)
		for range rapid.IntRange(1, 20).Draw(t, "uses") {
			wanted := values.Draw(t, "wanted")
			definition := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "definition")
			steps := setup.Plan(c, wanted, definition)
			s.execute(steps)
			c = c.Apply(steps)
			if !maps.Equal(s.values, wanted) {
				t.Fatalf("the session wants settings %v, the connection has %v", wanted, s.values)
			}
			if definition != "" && !s.prepared[definition] {
				t.Fatalf("%q is not prepared", definition)
			}
			if !setup.Plan(c, wanted, definition).Empty() {
				t.Fatalf("Plan returns further steps for a prepared connection")
			}
		}
	})
}

func TestDistanceCountsSteps(t *testing.T) {
	is := is.New(t)
	c := setup.Connection{}.Apply(setup.Steps{Set: []setup.Setting{{Name: "a", Value: "1"}}, Prepare: "x"})
	is.Equal(c.Distance(map[string]string{"a": "1"}), 0)
	is.Equal(c.Distance(map[string]string{"a": "2"}), 1)
	is.Equal(c.Distance(map[string]string{}), 2) // the reset and the prepared statement that it discards
}
