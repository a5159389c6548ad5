package state_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"trefoilcourse/coord/internal/fixedseed"
	"trefoilcourse/coord/state"
	"trefoilcourse/wire"
)

func TestMain(m *testing.M) { fixedseed.Main(m, 100) }

func publish(m *state.Machine, id string, base uint64, bodies map[string]string) *wire.PublishResult {
	p := &wire.PublishRequest{Id: id, BaseVersion: base, Author: id + "'s author"}
	for name, body := range bodies {
		p.Objects = append(p.Objects, &wire.Object{Kind: "read-policy", Name: name, Body: []byte(body)})
	}
	data, err := proto.Marshal(&wire.Command{Publish: p})
	if err != nil {
		panic(err)
	}
	result, err := m.Apply(data)
	if err != nil {
		panic(err)
	}
	return result
}

// TestPublishConflictAndRetry checks that of two publishes on one base version the first is accepted,
// and that repeating the accepted publish returns its recorded outcome.
func TestPublishConflictAndRetry(t *testing.T) {
	is := is.New(t)
	m := state.New()
	first := publish(m, "a", 0, map[string]string{"x": "1"})
	second := publish(m, "b", 0, map[string]string{"x": "2"})
	is.True(first.GetAccepted())
	is.True(!second.GetAccepted())
	is.Equal(second.GetWinnerId(), "a")
	retried := publish(m, "a", 0, map[string]string{"x": "1"})
	is.True(retried.GetAccepted())
	is.Equal(retried.GetVersion(), uint64(1))
	is.Equal(m.Version(), uint64(1))
}

// TestDeltasMatchFullConfiguration checks that entry VMs that take deltas end up with the whole
// configuration, from whatever version they ask and whenever the machine is restored.
func TestDeltasMatchFullConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := state.New()
		type reader struct {
			version uint64
			objects map[string]string
		}
		readers := []*reader{{objects: map[string]string{}}, {objects: map[string]string{}}, {objects: map[string]string{}}}
		for i := range rapid.IntRange(1, 30).Draw(t, "publishes") {
			bodies := map[string]string{}
			for range rapid.IntRange(0, 6).Draw(t, "objects") {
				bodies[fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "name"))] = fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "body"))
			}
			publish(m, fmt.Sprint(i), m.Version(), bodies)
			if rapid.Bool().Draw(t, "restart") {
				restored := state.New()
				if err := restored.Restore(m.Snapshot()); err != nil {
					t.Fatal(err)
				}
				m = restored
			}
			for k, r := range readers {
				if rapid.IntRange(0, 3).Draw(t, "asks") > 0 {
					continue
				}
				objects, whole := m.ChangesSince(r.version)
				if whole {
					r.objects = map[string]string{}
				}
				for _, o := range objects {
					if o.GetDeleted() {
						delete(r.objects, o.GetName())
					} else {
						r.objects[o.GetName()] = string(o.GetBody())
					}
				}
				r.version = m.Version()
				if fmt.Sprint(r.objects) != fmt.Sprint(bodies) {
					t.Fatalf("entry VM %d has %v at version %d, but %v was published", k, r.objects, r.version, bodies)
				}
			}
		}
	})
}

func TestPrimaryOfEarlierTermIsIgnored(t *testing.T) {
	is := is.New(t)
	m := state.New()
	apply := func(term uint64, slot string) {
		data, err := proto.Marshal(&wire.Command{Primary: &wire.Primary{Group: "g", Term: term, Slot: slot}})
		is.NoErr(err)
		_, err = m.Apply(data)
		is.NoErr(err)
	}
	apply(4, "b")
	apply(3, "a")
	is.Equal(m.Primary("g").GetSlot(), "b")
}

// TestHighestPublishNumberWins sends numbered publishes out of order and repeatedly, as two
// operators would: the highest number takes effect, and different content under the same number is
// never applied.
func TestHighestPublishNumberWins(t *testing.T) {
	is := is.New(t)
	m := state.New()
	send := func(number uint64, body string) *wire.PublishResult {
		data, err := proto.Marshal(&wire.Command{Publish: &wire.PublishRequest{
			Id: fmt.Sprint(number, body), Number: number, Document: []byte(body),
			Objects: []*wire.Object{{Kind: "read-policy", Name: "x", Body: []byte(body)}},
		}})
		is.NoErr(err)
		result, err := m.Apply(data)
		is.NoErr(err)
		return result
	}
	for _, step := range []struct {
		number uint64
		body   string
		want   string
	}{{3, "a", "a"}, {2, "b", "a"}, {3, "c", "a"}, {9, "d", "d"}, {3, "a", "d"}, {9, "e", "d"}} {
		is.True(send(step.number, step.body).GetAccepted()) // every publish is acknowledged
		is.Equal(string(m.Document()), step.want)
		is.Equal(string(m.Objects()[0].GetBody()), step.want)
	}
	restored := state.New()
	is.NoErr(restored.Restore(m.Snapshot()))
	is.Equal(restored.Number(), uint64(9))
	is.Equal(string(restored.Document()), "d")
}

// TestSnapshotKeepsOwnersAndServers checks that a leader that starts from a snapshot knows which
// entry VMs may hold leases.
func TestSnapshotKeepsOwnersAndServers(t *testing.T) {
	is := is.New(t)
	m := state.New()
	apply := func(c *wire.Command) {
		data, err := proto.Marshal(c)
		is.NoErr(err)
		_, err = m.Apply(data)
		is.NoErr(err)
	}
	apply(&wire.Command{Owners: &wire.Owners{Group: "g", Vms: []string{"e1"}, Former: []string{"e2"}}})
	apply(&wire.Command{Server: &wire.Announcement{Group: "g", Slot: "s1", Leaving: true}})
	apply(&wire.Command{Server: &wire.Announcement{Group: "g", Slot: "s2"}})
	apply(&wire.Command{Server: &wire.Announcement{Group: "g", Slot: "s2", Gone: true}})
	restored := state.New()
	is.NoErr(restored.Restore(m.Snapshot()))
	is.Equal(restored.Owners("g").GetFormer(), []string{"e2"})
	is.Equal(len(restored.Servers("g")), 1)
	is.True(restored.Servers("g")["s1"].GetLeaving())
}

// TestLargeCommandsArePacked checks that a whole configuration is encoded in a fraction of its size
// for the network and disks of the control VMs, and decodes to the same state.
func TestLargeCommandsArePacked(t *testing.T) {
	is := is.New(t)
	p := &wire.PublishRequest{Id: "large", Number: 7, Document: make([]byte, 400<<10)}
	for i := range 1500 {
		p.Objects = append(p.Objects, &wire.Object{Kind: "database", Name: fmt.Sprint(i), Body: []byte(`{"group":"ledger","consistency":"primary"}`)})
	}
	data, err := state.Encode(&wire.Command{Publish: p})
	is.NoErr(err)
	is.True(len(data) < proto.Size(p)/8)
	m := state.New()
	result, err := m.Apply(data)
	is.NoErr(err)
	is.True(result.GetAccepted())
	is.Equal(len(m.Objects()), 1500)
	is.Equal(len(m.Document()), 400<<10)

	small, err := state.Encode(&wire.Command{Primary: &wire.Primary{Group: "g", Term: 1}})
	is.NoErr(err)
	plain, err := proto.Marshal(&wire.Command{Primary: &wire.Primary{Group: "g", Term: 1}})
	is.NoErr(err)
	is.Equal(small, plain)
}
