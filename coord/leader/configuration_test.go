package leader_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"trefoilcourse/coord/state"
	"trefoilcourse/wire"
	"trefoilcourse/wire/packed"
)

const databaseCount = 1600

func databaseObjects(count int) []*wire.Object {
	objects := []*wire.Object{{
		Kind: "database-group", Name: "g", Body: []byte(`{"announced":true,"connections":44,"acknowledge":"primary-only"}`),
	}}
	for i := range count {
		objects = append(objects, &wire.Object{
			Kind: "database", Name: fmt.Sprintf("db%x", i*7919),
			Body: []byte(`{"group":"g","consistency":"primary","statement-milliseconds":800,"latency-milliseconds":150}`),
		})
	}
	return objects
}

// TestLargeConfigurationIsFetchedSeparately publishes 1600 databases to a hundred VMs on slow links.
// A renewal response with all of them would exceed the renewal timeout, be requested again and keep
// the leader from leading.
func TestLargeConfigurationIsFetchedSeparately(t *testing.T) {
	is := is.New(t)
	a := newAnnouncedFixture()
	a.run(4*time.Second, func() { a.renew("e1") })
	command, err := state.Encode(&wire.Command{Publish: &wire.PublishRequest{Id: "many", Number: 2, Objects: databaseObjects(databaseCount)}})
	is.NoErr(err)
	_, err = a.machine.Apply(command)
	is.NoErr(err)

	const vms, slowLinkBytesPerSecond = 100, 175_000
	for vm := range vms {
		a.sequence++
		response := a.leader.Renew(a.now, &wire.RenewRequest{
			Vm: fmt.Sprintf("e%d", vm), Incarnation: "1", ConfigurationVersion: 1, Sequence: a.sequence,
		})
		is.True(response.GetChangesApart())
		is.Equal(response.GetConfigurationVersion(), uint64(2))
		is.True(proto.Size(response) < slowLinkBytesPerSecond/10)
	}
	changes, err := a.machine.Changes(1)
	is.NoErr(err)
	is.True(len(changes.GetPacked()) < slowLinkBytesPerSecond/2) // transferred within half a second on a slow link
	got := &wire.Objects{}
	is.NoErr(packed.Unmarshal(changes.GetPacked(), got))
	is.Equal(len(got.GetObjects()), databaseCount)
	again, err := a.machine.Changes(1)
	is.NoErr(err)
	is.True(&again.GetPacked()[0] == &changes.GetPacked()[0]) // packed once for all requests

	a.apply(&wire.Command{Publish: &wire.PublishRequest{Id: "one more", Number: 3, Objects: databaseObjects(databaseCount + 1)}})
	a.sequence++
	response := a.leader.Renew(a.now, &wire.RenewRequest{Vm: "e1", Incarnation: "1", ConfigurationVersion: 2, Sequence: a.sequence})
	is.True(!response.GetChangesApart())
	is.Equal(len(response.GetObjects()), 1)
}
