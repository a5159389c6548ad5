package leader_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"trefoilcourse/coord/leader"
	"trefoilcourse/coord/promote"
	"trefoilcourse/coord/session"
	"trefoilcourse/coord/state"
	"trefoilcourse/wire"
)

// announced drives a leader of one announced group, whose servers answer as it is told.
type announced struct {
	now     time.Time
	machine *state.Machine
	leader  *leader.Leader
	// statuses are what servers say; a server without one does not answer.
	statuses map[string]promote.Status
	ordered  []string
	sequence uint64
	// forgets says that owners do not reach the log.
	forgets bool
}

func newAnnounced() *announced {
	a := &announced{now: time.Unix(1000, 0), machine: state.New(), statuses: map[string]promote.Status{}}
	a.apply(&wire.Command{Publish: &wire.PublishRequest{Id: "first", Number: 1, Objects: []*wire.Object{{
		Kind: "database-group", Name: "g", Body: []byte(`{"announced":true,"connections":44,"acknowledge":"primary-only"}`),
	}}}})
	a.lead(1)
	return a
}

func (a *announced) lead(term uint64) {
	a.leader = &leader.Leader{State: a.machine}
	a.leader.StartTerm(a.now, term)
}

func (a *announced) apply(c *wire.Command) {
	data, _ := proto.Marshal(c)
	_, _ = a.machine.Apply(data)
}

func (a *announced) status(slot string, primary bool, term, offset uint64) {
	a.statuses[slot] = promote.Status{
		Slot: slot, Incarnation: "answers", Primary: primary, Followed: true, Term: term,
		Position: session.Position{Term: term, Offset: offset},
	}
}

func (a *announced) beat(slot, address string, born, sequence uint64, leaving bool) {
	a.leader.Announce(a.now, &wire.Announcement{
		Group: "g", Slot: slot, Incarnation: "1", Address: address, FailureDomain: "d1",
		Primary: a.statuses[slot].Primary, Born: born, Sequence: sequence, Leaving: leaving,
	})
}

// run lets time pass; each server that answers announces itself, unless told otherwise.
func (a *announced) run(d time.Duration, each func()) {
	for end := a.now.Add(d); a.now.Before(end); a.now = a.now.Add(20 * time.Millisecond) {
		if each != nil {
			each()
		}
		for _, action := range a.leader.Tick(a.now) {
			a.act(action)
		}
	}
}

func (a *announced) act(action leader.Action) {
	switch {
	case action.Record != nil:
		a.apply(leader.Record("g", action.Record))
	case action.Owners != nil && a.forgets:
	case action.Owners != nil:
		a.apply(&wire.Command{Owners: action.Owners})
	case action.Server != nil:
		a.apply(&wire.Command{Server: action.Server})
	case action.Query != nil:
		for _, slot := range action.Query {
			s := a.statuses[slot]
			s.Slot, s.Asked = slot, a.now
			a.leader.Answer("g", s)
		}
	case action.Promote != nil:
		a.ordered = append(a.ordered, action.Promote.Slot)
	}
}

// renew has an entry VM renew, and returns the grant on the group.
func (a *announced) renew(vm string, holdings ...*wire.Holding) (*wire.Grant, *wire.RenewResponse) {
	a.sequence++
	response := a.leader.Renew(a.now, &wire.RenewRequest{
		Vm: vm, Incarnation: "1", FailureDomain: vm, LinkAddress: vm + ":1", Sequence: a.sequence, Holdings: holdings,
	})
	for _, g := range response.GetGrants() {
		return g, response
	}
	return nil, response
}

func (a *announced) directory(vm string) *wire.GroupState {
	_, response := a.renew(vm)
	for _, g := range response.GetGroups() {
		return g
	}
	return nil
}

// settled is a group with a primary and an owner that has been granted its term.
func settled(t *testing.T) *announced {
	a := newAnnounced()
	a.status("p", true, 7, 100)
	a.status("r", false, 7, 100)
	a.run(4*time.Second, func() {
		a.beat("p", "10.0.0.1:1", 5, uint64(a.now.UnixMilli()), false)
		a.beat("r", "10.0.0.2:1", 5, uint64(a.now.UnixMilli()), false)
		a.renew("e1")
	})
	grant, _ := a.renew("e1")
	is.New(t).Equal(grant.GetTerm(), uint64(7))
	return a
}

func TestAnnouncedGroupFindsItsPrimary(t *testing.T) {
	is := is.New(t)
	a := settled(t)
	is.Equal(a.machine.Primary("g").GetSlot(), "p")
	is.Equal(a.machine.Owners("g").GetVms(), []string{"e1"})
	is.Equal(len(a.machine.Servers("g")), 2)
	is.Equal(len(a.ordered), 0)
}

// TestNewLeaderAdoptsOnlyWhatItMust: once the recorded owner has reported, nothing of an earlier
// leader's leases is unknown; before, nothing is granted.
func TestNewLeaderAdoptsOnlyWhatItMust(t *testing.T) {
	is := is.New(t)
	a := settled(t)
	a.lead(2)
	a.run(100*time.Millisecond, nil)
	_, response := a.renew("e2")
	is.True(response.GetSoon())
	is.Equal(response.GetDirectoryEpoch(), uint64(0))
	grant, response := a.renew("e1") // restarted: it holds nothing
	is.Equal(grant.GetTerm(), uint64(7))
	is.True(grant.GetConnections() > 0)
	is.True(!response.GetSoon())
	is.Equal(len(response.GetGroups()[0].GetServers()), 2) // known from the log
}

// TestFormerOwnerIsAwaited: a VM that owned the group before may still hold a lease on it.
func TestFormerOwnerIsAwaited(t *testing.T) {
	is := is.New(t)
	a := settled(t)
	a.apply(&wire.Command{Owners: &wire.Owners{Group: "g", Vms: []string{"e2"}, Former: []string{"e1"}}})
	a.lead(2)
	a.run(100*time.Millisecond, nil)
	grant, _ := a.renew("e2")
	is.Equal(grant.GetConnections(), uint32(0))
	a.renew("e1", &wire.Holding{Group: "g", Term: 7, Connections: 10})
	grant, _ = a.renew("e2")
	is.True(grant.GetConnections() > 0 && grant.GetConnections() <= 33) // not those that e1 holds
}

// TestLateAnnouncements of an earlier message, an earlier start, or an earlier server at an
// address change nothing.
func TestLateAnnouncements(t *testing.T) {
	is := is.New(t)
	a := settled(t)
	a.beat("r", "10.0.0.2:1", 5, 1, true)
	a.beat("r", "10.0.0.9:1", 4, 1<<40, true)
	a.beat("old", "10.0.0.2:1", 4, 1<<40, false)
	a.run(time.Second, nil)
	for _, s := range a.directory("e3").GetServers() {
		is.True(!s.GetLeaving())
		is.True(s.GetSlot() == "p" || s.GetSlot() == "r")
	}
	a.beat("new", "10.0.0.2:1", 6, 1, false)
	a.run(time.Second, nil)
	slots := ""
	for _, s := range a.directory("e4").GetServers() {
		slots += s.GetSlot()
	}
	is.Equal(slots, "newp") // r's address is another server's now
}

// TestLeavingPrimaryIsHandedOver waits until its owner has given the term up and the replica has
// all that it acknowledged; the platform's order may fail and is given for another server then.
func TestLeavingPrimaryIsHandedOver(t *testing.T) {
	is := is.New(t)
	a := settled(t)
	a.status("p", true, 7, 120)
	leave := func() {
		a.beat("p", "10.0.0.1:1", 5, uint64(a.now.UnixMilli()), true)
		a.beat("r", "10.0.0.2:1", 5, uint64(a.now.UnixMilli()), false)
	}
	a.run(time.Second, func() {
		leave()
		a.renew("e1", &wire.Holding{Group: "g", Term: 7, Connections: 5})
	})
	is.True(a.directory("e5").GetClosing())
	is.True(a.directory("e6").GetServers()[0].GetLeaving())
	is.Equal(len(a.ordered), 0) // its owner has work under way
	a.run(400*time.Millisecond, func() {
		leave()
		a.renew("e1", &wire.Holding{Group: "g", Connections: 5})
	})
	is.Equal(len(a.ordered), 0) // r is behind
	a.status("r", false, 7, 120)
	a.run(300*time.Millisecond, leave)
	is.Equal(a.ordered[0], "r")
	grant, _ := a.renew("e1", &wire.Holding{Group: "g", Connections: 5})
	is.Equal(grant.GetTerm(), uint64(0)) // not before it leads
	a.status("r", true, 8, 121)
	a.status("p", false, 8, 121)
	a.run(500*time.Millisecond, leave)
	grant, _ = a.renew("e1", &wire.Holding{Group: "g", Connections: 5})
	is.True(grant.GetTerm() > 7)
}

// TestRefusedOrder has the platform say that the chosen server is not running.
func TestRefusedOrder(t *testing.T) {
	is := is.New(t)
	a := settled(t)
	a.status("q", false, 7, 99)
	a.run(time.Second, func() { a.beat("q", "10.0.0.3:1", 5, uint64(a.now.UnixMilli()), false) })
	delete(a.statuses, "p")
	is.NoErr(a.leader.Force(a.now, "g", "", false))
	a.run(3*time.Second, nil)
	is.Equal(a.ordered[0], "r")
	delete(a.statuses, "r")
	a.leader.Refused(a.now, "g", a.leader.Primary("g"))
	a.run(time.Second, nil)
	is.Equal(a.ordered[len(a.ordered)-1], "q")
}

// TestOwnerThatCannotReachAGoodPrimary loses the group to one that can.
func TestOwnerThatCannotReachAGoodPrimary(t *testing.T) {
	is := is.New(t)
	a := settled(t)
	a.leader.Owners = 1
	report := func() {
		a.sequence++
		a.leader.Renew(a.now, &wire.RenewRequest{
			Vm: "e1", Incarnation: "1", FailureDomain: "e1", Sequence: a.sequence,
			Holdings:     []*wire.Holding{{Group: "g", Connections: 5}},
			Observations: []*wire.Observation{{Group: "g", Term: 7, Health: wire.PrimaryHealth_PRIMARY_HEALTH_UNREACHABLE}},
		})
		a.renew("e2")
	}
	a.run(3*time.Second, report)
	is.Equal(a.machine.Owners("g").GetVms(), []string{"e2"})
	is.Equal(a.machine.Primary("g").GetSlot(), "p")
}

// TestLeasesAreForRecordedOwners, since the next leader knows of no others.
func TestLeasesAreForRecordedOwners(t *testing.T) {
	is := is.New(t)
	a := settled(t)
	a.forgets = true
	a.run(3*time.Second, func() { a.renew("e2") }) // e1 has gone
	grant, _ := a.renew("e2")
	is.Equal(grant.GetConnections(), uint32(0))
	a.forgets = false
	a.run(3*time.Second, func() { a.renew("e2") })
	grant, _ = a.renew("e2")
	is.True(grant.GetConnections() > 0)
}

// TestNoVMGetsWhatAnotherGroupKeeps: when the owners of two groups go at once, the new ones are
// not those that a group which is looked at later keeps. A VM that owned two groups once worked
// at the limit of its processor for ten seconds while others owned none.
func TestNoVMGetsWhatAnotherGroupKeeps(t *testing.T) {
	is := is.New(t)
	a := newAnnounced()
	group := func(name string) *wire.Object {
		return &wire.Object{Kind: "database-group", Name: name, Body: []byte(`{"announced":true,"connections":44,"acknowledge":"primary-only"}`)}
	}
	names := []string{"a", "b", "c", "d"}
	var objects []*wire.Object
	for _, name := range names {
		objects = append(objects, group(name))
	}
	a.apply(&wire.Command{Publish: &wire.PublishRequest{Id: "four groups", Number: 2, Objects: objects}})
	vms := map[string]bool{}
	for i := range 16 {
		vms[fmt.Sprintf("e%d", i)] = true
	}
	renewAll := func() {
		for vm := range vms {
			a.sequence++
			a.leader.Renew(a.now, &wire.RenewRequest{
				Vm: vm, Incarnation: "1", FailureDomain: "d" + vm[len(vm)-1:], LinkAddress: vm + ":1", Sequence: a.sequence,
			})
		}
	}
	most := func() int {
		owned := map[string]int{}
		for _, name := range names {
			for _, vm := range a.machine.Owners(name).GetVms() {
				owned[vm]++
			}
		}
		return slices.Max(slices.Collect(maps.Values(owned)))
	}
	a.run(5*time.Second, renewAll)
	is.Equal(most(), 1)
	for range 4 {
		delete(vms, a.machine.Owners("a").GetVms()[0])
		a.run(4*time.Second, renewAll)
		is.Equal(most(), 1)
	}
}

// TestStepsAreTold: a change of a group's state comes with the findings and answers that it rests
// on, and their ages.
func TestStepsAreTold(t *testing.T) {
	is := is.New(t)
	a := settled(t)
	var steps []*leader.Transition
	a.statuses["p"] = promote.Status{}
	for range 150 {
		a.sequence++
		a.leader.Renew(a.now, &wire.RenewRequest{
			Vm: "e1", Incarnation: "1", FailureDomain: "e1", LinkAddress: "e1:1", Sequence: a.sequence,
			Observations: []*wire.Observation{{Group: "g", Term: a.machine.Primary("g").GetTerm(), Health: wire.PrimaryHealth_PRIMARY_HEALTH_UNREACHABLE}},
		})
		for _, action := range a.leader.Tick(a.now) {
			if action.Transition != nil {
				steps = append(steps, action.Transition)
			}
			a.act(action)
		}
		a.now = a.now.Add(20 * time.Millisecond)
	}
	var states []string
	for _, s := range steps {
		states = append(states, s.To)
	}
	is.Equal(states[:4], []string{promote.Checking, promote.Fencing, promote.Choosing, promote.Ordering})
	is.Equal(steps[0].From, promote.Steady)
	is.True(steps[0].Reason != "")
	is.True(strings.Contains(steps[0].Evidence, "e1 finds it unreachable"))
	is.True(strings.Contains(steps[1].Evidence, "p asked 20ms ago, does not answer"))
}

// TestOwnersAskSoonDuringAChange: callers wait until owners hear of the next primary, so these do
// not wait for their next renewal in turn.
func TestOwnersAskSoonDuringAChange(t *testing.T) {
	is := is.New(t)
	a := settled(t)
	_, response := a.renew("e1", &wire.Holding{Group: "g", Term: 7})
	is.True(!response.GetSoon())
	is.NoErr(a.leader.Force(a.now, "g", "", false))
	_, response = a.renew("e1", &wire.Holding{Group: "g", Term: 7})
	is.True(response.GetSoon())
	_, response = a.renew("e2")
	is.True(!response.GetSoon()) // it owns nothing of it
}
