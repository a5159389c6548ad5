package measure

import (
	"fmt"
	"time"

	"trefoilcourse/standin"
	"trefoilcourse/wire"
)

const (
	domainDelay    = 1500 * time.Microsecond
	callerDelay    = 3 * time.Millisecond
	localDelay     = 100 * time.Microsecond
	connectCost    = 10 * time.Millisecond
	statementCost  = time.Millisecond
	meanReceiveLag = 5 * time.Millisecond
	meanReplayLag  = 15 * time.Millisecond
	callerPlace    = "callers"
)

// Deployment is a users' deployment and its traffic.
type Deployment struct {
	name        string
	domains     []string
	entries     int
	services    int
	databases   int
	connections int
	callers     int
	think       time.Duration
	writeShare  float64
	browseShare float64
	staleness   time.Duration
	faults      []string
}

// Kanaat is the bindery's deployment: a ledger with many writes.
func Kanaat() Deployment {
	return Deployment{
		name: "kanaat", domains: []string{"bursa-a", "bursa-b", "gebze", "izmit"},
		entries: 18, services: 3, databases: 3, connections: 45, callers: 90,
		think: 40 * time.Millisecond, writeShare: 0.4, browseShare: 0.1,
		staleness: 500 * time.Millisecond,
	}
}

// Kirst is the costume lenders' deployment: mostly browsing of a catalogue.
func Kirst() Deployment {
	return Deployment{
		name: "kirst", domains: []string{"ee-north-a", "ee-north-b", "ee-north-c"},
		entries: 18, services: 3, databases: 3, connections: 110, callers: 180,
		think: 30 * time.Millisecond, writeShare: 0.08, browseShare: 0.75,
		staleness: 2 * time.Second,
	}
}

// Demo is a small deployment for a first look.
func Demo() Deployment {
	return Deployment{
		name: "demo", domains: []string{"north", "south", "west"},
		entries: 4, services: 1, databases: 2, connections: 45, callers: 16,
		think: 20 * time.Millisecond, writeShare: 0.3, browseShare: 0.4,
		staleness: time.Second,
		faults:    []string{"publish-race", "primary-killed"},
	}
}

// Name returns the deployment's name.
func (d Deployment) Name() string { return d.name }

func (d Deployment) groupNames() []string {
	var names []string
	for s := range d.services {
		for b := range d.databases {
			names = append(names, fmt.Sprintf("%s-%d-%d", d.name, s+1, b+1))
		}
	}
	return names
}

func (d Deployment) groups(seed uint64) []*standin.Group {
	var groups []*standin.Group
	for i, name := range d.groupNames() {
		g := &standin.Group{
			Name: name, ConnectDelay: connectCost, StatementDelay: statementCost,
			ReceiveLag: meanReceiveLag, ReplayLag: meanReplayLag, Seed: seed + uint64(i),
		}
		for k, slot := range []string{"a", "b", "c"} {
			g.Slots = append(g.Slots, standin.Slot{Name: slot, FailureDomain: d.domains[(i+k)%len(d.domains)]})
		}
		groups = append(groups, g)
	}
	return groups
}

// objects returns the configuration; note distinguishes one publish from another.
func (d Deployment) objects(replicas bool, note int) []*wire.Object {
	var objects []*wire.Object
	add := func(kind, name, format string, args ...any) {
		objects = append(objects, &wire.Object{Kind: kind, Name: name, Body: fmt.Appendf(nil, format, args...)})
	}
	for i, name := range d.groupNames() {
		add("database-group", name, `{"slots":["a","b","c"],"connections":%d}`, d.connections)
		if (i+1)%d.databases == 0 {
			first := d.groupNames()[i+1-d.databases : i+1]
			add("service", fmt.Sprintf("%s-%d", d.name, i/d.databases+1), `{"groups":[%s],"read-policy":"usual","objective":"usual"}`, quoted(first))
		}
	}
	add("objective", "usual", `{"availability-percent":99.9,"latency-milliseconds":%d,"window-days":30}`, 500+note)
	if replicas {
		add("read-policy", "usual", `{"replicas":true,"staleness-allowance":"usual"}`)
		add("staleness-allowance", "usual", `{"milliseconds":%d}`, d.staleness.Milliseconds())
	} else {
		add("read-policy", "usual", `{"replicas":false}`)
	}
	return objects
}

func quoted(names []string) string {
	text := ""
	for i, name := range names {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf("%q", name)
	}
	return text
}

// delay is the one-way delay between two failure domains, or from a caller.
func delay(from, to string) time.Duration {
	switch {
	case from == callerPlace || to == callerPlace:
		return callerDelay
	case from == to:
		return localDelay
	}
	return domainDelay
}
