package leader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
)

// TestOddAnnouncementsChangeNothing guards against one writer's odd entry that keeps every entry VM from its
// renewals, since an answer that contains it cannot be encoded.
func TestOddAnnouncementsChangeNothing(t *testing.T) {
	is := is.New(t)
	a := newFixtureWithPrimary(t)
	for _, odd := range []*wire.Announcement{
		{Group: "g", Slot: "i-\xff\xfe", Incarnation: "1", Address: "10.0.0.9:5432", FailureDomain: "d1"},
		{Group: "g", Slot: "i-8", Incarnation: "1", Address: "10.0.0.8:65536", FailureDomain: "d1"},
	} {
		a.leader.ReceiveAnnouncement(a.now, odd)
		a.sequence++
		a.leader.Renew(a.now, &wire.RenewRequest{Vm: "e2", Incarnation: "1", FailureDomain: "e2", Sequence: a.sequence, Announcements: []*wire.Announcement{odd}})
	}
	a.run(time.Second, func() { a.renew("e1", &wire.Holding{Group: "g", Term: 7, Connections: 5}) })
	is.Equal(len(a.machine.Servers("g")), 2)
	_, response := a.renew("e9")
	_, err := proto.Marshal(response)
	is.NoErr(err)
	is.Equal(len(response.GetGroups()[0].GetServers()), 2)
}
