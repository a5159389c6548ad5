package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/coord/leader"
	"trefoilcourse/coord/state"
	"trefoilcourse/wire"
)

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the bytes in use after a collection, stacks included.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// LeaderSlopes is what the control leader's decisions cost.
type LeaderSlopes struct {
	// Renewal is processor time, bytes asked and bytes answered, each for one renewal in which
	// nothing is new.
	Renewal       time.Duration
	RenewalAsked  float64
	RenewalAnswer float64
	// Tick is processor time of one tick in which nothing is new.
	Tick time.Duration
	// Assign is processor time of giving every group its owners anew.
	Assign time.Duration
	// Whole is the bytes of the directory in full, WholeConfiguration of the configuration.
	Whole              float64
	WholeConfiguration float64
	// ChangeAnswer is the bytes that one published change adds to the answers of one VM.
	ChangeAnswer float64
	// JoinAnswer is the bytes that one VM that comes or goes adds to the answers of another.
	JoinAnswer float64
	// Memory is the leader's state in bytes, the replicated state included.
	Memory float64
	// Publish is processor time of applying one publish of the whole set.
	Publish time.Duration
}

// fleet is a leader with synthetic VMs and servers that do what real ones do.
type fleet struct {
	now      time.Time
	machine  *state.Machine
	leader   *leader.Leader
	vms      []*syntheticVM
	groups   int
	asked    int
	answered int
	renewed  int
}

type syntheticVM struct {
	request wire.RenewRequest
}

func newFleet(vms, groups int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), machine: state.New(), groups: groups}
	f.publish(0)
	for g := range groups {
		primary := &wire.Command{Primary: &wire.Primary{Group: groupName(g), Term: 1, Slot: "a", Slots: []*wire.Slot{
			{Name: "a", Incarnation: "a0a0a0a0a0a0"}, {Name: "b", Incarnation: "a0a0a0a0a0a0"}, {Name: "c", Incarnation: "a0a0a0a0a0a0"},
		}}}
		data, _ := proto.Marshal(primary)
		_, _ = f.machine.Apply(data)
	}
	f.leader = &leader.Leader{State: f.machine}
	f.leader.StartTerm(f.now, 1)
	for i := range vms {
		f.vms = append(f.vms, &syntheticVM{request: wire.RenewRequest{
			Vm: fmt.Sprintf("entry-%03d", i), Incarnation: "4f21aa90b3c1",
			FailureDomain: fmt.Sprintf("domain-%d", i%failureDomains), LinkAddress: fmt.Sprintf("10.1.%d.%d:7200", i/250, i%250),
		}})
	}
	return f
}

func groupName(g int) string { return fmt.Sprintf("ledger-%04d", g) }

func (f *fleet) publish(note int) {
	p := &wire.PublishRequest{Id: fmt.Sprintf("publish-%d", note), BaseVersion: f.machine.Version(), Author: "operator"}
	for g := range f.groups {
		connections := connectionsPerBase
		if g < objectsPerChange {
			connections += note
		}
		p.Objects = append(p.Objects, &wire.Object{
			Kind: "database-group", Name: groupName(g),
			Body: fmt.Appendf(nil, `{"slots":["a","b","c"],"connections":%d}`, connections),
		})
	}
	data, _ := proto.Marshal(&wire.Command{Publish: p})
	_, _ = f.machine.Apply(data)
}

// round lets every VM renew once, half a second after the last round, with its part of the
// servers' announcements; the messages are encoded and decoded as on the wire.
func (f *fleet) round() {
	f.now = f.now.Add(time.Second / renewalsPerSec)
	for i, vm := range f.vms {
		r := &vm.request
		r.Announcements = nil
		for k := i; k < f.groups*slotsPerDatabase; k += len(f.vms) {
			if (k/len(f.vms))%renewalsPerSec == int(r.GetSequence())%renewalsPerSec {
				r.Announcements = append(r.Announcements, f.announcement(k))
			}
		}
		f.renew(r)
	}
}

func (f *fleet) announcement(k int) *wire.Announcement {
	slot := string(rune('a' + k%slotsPerDatabase))
	return &wire.Announcement{
		Group: groupName(k / slotsPerDatabase), Slot: slot, Incarnation: "a0a0a0a0a0a0",
		Address: fmt.Sprintf("10.2.%d.%d:5432", k/250, k%250), FailureDomain: fmt.Sprintf("domain-%d", k%failureDomains),
		Primary: slot == "a", Term: 1, Position: &wire.Position{Term: 1, Offset: uint64(1e9) + uint64(f.now.UnixMilli())},
	}
}

func (f *fleet) renew(r *wire.RenewRequest) {
	r.Sequence++
	data, _ := proto.Marshal(r)
	f.asked += len(data)
	received := &wire.RenewRequest{}
	_ = proto.Unmarshal(data, received)
	answer, _ := proto.Marshal(f.leader.Renew(f.now, received))
	f.answered += len(answer)
	f.renewed++
	response := &wire.RenewResponse{}
	_ = proto.Unmarshal(answer, response)
	r.ConfigurationVersion = response.GetConfigurationVersion()
	r.DirectoryEpoch, r.DirectoryRevision = response.GetDirectoryEpoch(), response.GetDirectoryRevision()
	r.Holdings, r.Observations = nil, nil
	for _, g := range response.GetGrants() {
		r.Holdings = append(r.Holdings, &wire.Holding{Group: g.GetGroup(), Term: g.GetTerm(), Connections: g.GetConnections(), Demand: 3})
		r.Observations = append(r.Observations, &wire.Observation{Group: g.GetGroup(), Term: g.GetTerm(), Health: wire.PrimaryHealth_PRIMARY_HEALTH_GOOD})
	}
}

func (f *fleet) tick() { f.leader.Tick(f.now) }

// settle runs rounds until nothing is new any more.
func (f *fleet) settle(rounds int) {
	for range rounds {
		f.round()
		f.tick()
	}
	f.asked, f.answered, f.renewed = 0, 0, 0
}

// MeasureLeader measures a leader with so many VMs and groups.
func MeasureLeader(vms, groups int) LeaderSlopes {
	const (
		settleRounds = 12
		rounds       = 6
		ticks        = 50
	)
	before := heap()
	f := newFleet(vms, groups)
	f.settle(settleRounds)
	s := LeaderSlopes{Memory: float64(heap() - before)}
	cpu := processorTime()
	for range rounds {
		f.round()
	}
	s.Renewal = (processorTime() - cpu) / time.Duration(f.renewed)
	s.RenewalAsked = float64(f.asked) / float64(f.renewed)
	s.RenewalAnswer = float64(f.answered) / float64(f.renewed)
	cpu = processorTime()
	for range ticks {
		f.tick()
	}
	s.Tick = (processorTime() - cpu) / ticks
	f.measureChanges(&s)
	return s
}

// measureChanges measures what is new to all: a change, a VM that leaves, a VM that starts.
func (f *fleet) measureChanges(s *LeaderSlopes) {
	perVM := func() float64 { return float64(f.answered) / float64(f.renewed) }
	cpu := processorTime()
	f.publish(1)
	s.Publish = processorTime() - cpu
	f.settle(0)
	f.round()
	s.ChangeAnswer = perVM() - s.RenewalAnswer
	f.settle(1)
	last := len(f.vms) - 1
	f.vms[last].request.Draining = true
	f.renew(&f.vms[last].request)
	cpu = processorTime()
	f.tick()
	s.Assign = max(0, processorTime()-cpu-s.Tick)
	f.settle(0)
	f.round()
	s.JoinAnswer = perVM() - s.RenewalAnswer
	fresh := f.vms[0]
	fresh.request.DirectoryEpoch, fresh.request.DirectoryRevision, fresh.request.ConfigurationVersion = 0, 0, f.machine.Version()
	f.settle(0)
	f.renew(&fresh.request)
	s.Whole = float64(f.answered) - s.RenewalAnswer
	fresh.request.ConfigurationVersion = 0
	f.settle(0)
	f.renew(&fresh.request)
	s.WholeConfiguration = float64(f.answered) - s.RenewalAnswer
}
