package config

import (
	"fmt"
	"reflect"
	"strings"
)

const (
	maxNameBytes          = 63
	maxSlots              = 9
	minConnections        = 12
	minAnnounced          = 4
	maxConnections        = 10_000
	maxStaleness          = 24 * 60 * 60 * 1000
	maxWaitMilliseconds   = 5_000
	maxObjectiveDays      = 90
	maxAvailability       = 100.0
	maxLatencyMillisecond = 600_000
)

// Kinds returns the names of all kinds.
func Kinds() []string {
	return []string{KindDatabase, KindDatabaseGroup, KindObjective, KindReadPolicy, KindService, KindStalenessAllowance}
}

// fieldNames are the fields of each kind as they are written.
var fieldNames = map[string][]string{
	KindDatabaseGroup:      fieldsIn(reflect.TypeFor[DatabaseGroup]()),
	KindService:            fieldsIn(reflect.TypeFor[Service]()),
	KindReadPolicy:         fieldsIn(reflect.TypeFor[ReadPolicy]()),
	KindStalenessAllowance: fieldsIn(reflect.TypeFor[StalenessAllowance]()),
	KindObjective:          fieldsIn(reflect.TypeFor[Objective]()),
	KindDatabase:           fieldsIn(reflect.TypeFor[Database]()),
}

func fieldsIn(kind reflect.Type) []string {
	var names []string
	for _, field := range reflect.VisibleFields(kind) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

type checker struct {
	set    *Set
	places map[Key]ParsedObject
	faults []Fault
}

// Check decodes a whole set and returns every dangling reference, contradiction and impossible
// number in it, in the order of the objects.
func Check(objects []ParsedObject) (*Set, []Fault) {
	c := &checker{set: NewSet(), places: map[Key]ParsedObject{}}
	for _, o := range objects {
		if earlier, ok := c.places[o.key]; ok {
			line, _ := earlier.file.place(earlier.offset)
			c.fault(o, fmt.Sprintf("the name is already used at %s:%d", earlier.file.name, line), "rename or remove one")
			continue
		}
		c.places[o.key] = o
		if err := c.set.Put(o.key, o.body); err != nil {
			c.fault(o, err.Error(), "mend the object")
		}
	}
	for _, o := range objects {
		c.check(o)
	}
	return c.set, c.faults
}

func (c *checker) fault(o ParsedObject, text, mend string) {
	c.faults = append(c.faults, o.file.fault(o.offset, o.key.String(), text, mend))
}

func (c *checker) check(o ParsedObject) {
	name := o.key.Name
	switch o.key.Kind {
	case KindDatabaseGroup:
		c.checkGroup(o, c.set.Groups[name])
	case KindService:
		c.checkService(o, c.set.Services[name])
	case KindReadPolicy:
		c.checkPolicy(o, c.set.ReadPolicies[name])
	case KindStalenessAllowance:
		c.within(o, "milliseconds", c.set.StalenessAllowances[name].Milliseconds, 1, maxStaleness)
	case KindObjective:
		c.checkObjective(o, c.set.Objectives[name])
	case KindDatabase:
		c.checkDatabase(o, c.set.Databases[name])
	}
}

func (c *checker) checkDatabase(o ParsedObject, d Database) {
	group, ok := c.set.Groups[d.Group]
	c.reference(o, KindDatabaseGroup, d.Group, ok)
	if ok && !group.Announced {
		c.fault(o, fmt.Sprintf("database-group %q is not announced", d.Group), "reach it by its own name or set announced")
	}
	switch d.Consistency {
	case ConsistencyPrimary, ConsistencyBounded, ConsistencySession:
	default:
		c.fault(o, fmt.Sprintf("consistency %q does not exist", d.Consistency), "use primary, bounded or session")
	}
	if d.StalenessAllowance != "" {
		_, ok := c.set.StalenessAllowances[d.StalenessAllowance]
		c.reference(o, KindStalenessAllowance, d.StalenessAllowance, ok)
	}
	c.within(o, "statement-milliseconds", d.StatementMilliseconds, 1, maxLatencyMillisecond)
}

func (c *checker) checkGroup(o ParsedObject, g DatabaseGroup) {
	if g.Announced {
		c.checkAnnounced(o, g)
	} else if len(g.Slots) == 0 || len(g.Slots) > maxSlots || len(g.Slots)%2 == 0 {
		c.fault(o, fmt.Sprintf("%d slots are listed", len(g.Slots)), fmt.Sprintf("list an odd number up to %d", maxSlots))
	}
	c.unique(o, "slot", g.Slots)
	for _, slot := range g.Slots {
		if !validName(slot) {
			c.fault(o, fmt.Sprintf("slot %q is not in kebab case", slot), "use lower-case letters, digits and hyphens")
		}
	}
	least := minConnections
	if g.Announced {
		least = minAnnounced
	}
	c.within(o, "connections", g.Connections, least, maxConnections)
	switch g.Acknowledge {
	case "", AcknowledgeMajority, AcknowledgePrimaryOnly:
	default:
		c.fault(o, fmt.Sprintf("acknowledge %q does not exist", g.Acknowledge), "use majority or primary-only")
	}
}

func (c *checker) checkAnnounced(o ParsedObject, g DatabaseGroup) {
	if len(g.Slots) > 0 {
		c.fault(o, "an announced group lists slots", "remove the slots; its servers announce themselves")
	}
	if g.Acknowledge != AcknowledgePrimaryOnly {
		c.fault(o, "an announced group cannot wait for a majority of its slots", "set acknowledge to primary-only")
	}
	c.within(o, "synchronous-replicas", g.SynchronousReplicas, 0, maxSlots)
}

func (c *checker) checkService(o ParsedObject, s Service) {
	if len(s.Groups) == 0 {
		c.fault(o, "the service has no group", "list at least one database-group")
	}
	c.unique(o, "group", s.Groups)
	for _, group := range s.Groups {
		_, ok := c.set.Groups[group]
		c.reference(o, KindDatabaseGroup, group, ok)
		c.oneService(o, group)
	}
	_, ok := c.set.ReadPolicies[s.ReadPolicy]
	c.reference(o, KindReadPolicy, s.ReadPolicy, ok)
	if s.Objective != "" {
		_, ok := c.set.Objectives[s.Objective]
		c.reference(o, KindObjective, s.Objective, ok)
	}
}

func (c *checker) oneService(o ParsedObject, group string) {
	for name, other := range c.set.Services {
		if name >= o.key.Name {
			continue
		}
		for _, g := range other.Groups {
			if g == group {
				c.fault(o, fmt.Sprintf("group %q already belongs to service %q", group, name), "list it in one service")
			}
		}
	}
}

func (c *checker) checkPolicy(o ParsedObject, p ReadPolicy) {
	if p.StalenessAllowance != "" {
		_, ok := c.set.StalenessAllowances[p.StalenessAllowance]
		c.reference(o, KindStalenessAllowance, p.StalenessAllowance, ok)
	}
	if !p.Replicas && p.StalenessAllowance != "" {
		c.fault(o, "a staleness-allowance without replicas has no effect", "set replicas to true or remove the allowance")
	}
	c.within(o, "wait-milliseconds", p.WaitMilliseconds, 0, maxWaitMilliseconds)
}

func (c *checker) checkObjective(o ParsedObject, b Objective) {
	if b.AvailabilityPercent <= 0 || b.AvailabilityPercent >= maxAvailability {
		c.fault(o, fmt.Sprintf("availability-percent %v leaves no budget", b.AvailabilityPercent), "use a number above 0 and below 100")
	}
	c.within(o, "latency-milliseconds", b.LatencyMilliseconds, 1, maxLatencyMillisecond)
	c.within(o, "window-days", b.WindowDays, 1, maxObjectiveDays)
}

func (c *checker) within(o ParsedObject, field string, value, low, high int) {
	if value < low || value > high {
		c.fault(o, fmt.Sprintf("%s is %d", field, value), fmt.Sprintf("use a number from %d to %d", low, high))
	}
}

func (c *checker) unique(o ParsedObject, what string, names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		if seen[name] {
			c.fault(o, fmt.Sprintf("%s %q is listed twice", what, name), "list it once")
		}
		seen[name] = true
	}
}

func (c *checker) reference(o ParsedObject, kind, name string, exists bool) {
	if !exists {
		c.fault(o, fmt.Sprintf("%s %q does not exist", kind, name), "define it or name another")
	}
}
