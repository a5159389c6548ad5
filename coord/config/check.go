package config

import (
	"fmt"
	"reflect"
	"strings"
)

const (
	maxNameBytes             = 63
	maxSlots                 = 9
	minConnections           = 12
	minAnnouncedConnections  = 4
	maxConnections           = 10_000
	maxStalenessMilliseconds = 24 * 60 * 60 * 1000
	maxWaitMilliseconds      = 5_000
	maxObjectiveDays         = 90
	maxAvailabilityPercent   = 100.0
	maxLatencyMilliseconds   = 600_000
)

// Kinds returns the names of all kinds.
func Kinds() []string {
	return []string{KindDatabase, KindDatabaseGroup, KindObjective, KindReadPolicy, KindService, KindStalenessAllowance, KindWorkspace}
}

// fieldNames lists the fields of each kind by their names in a file.
var fieldNames = map[string][]string{
	KindDatabaseGroup:      jsonFieldNames(reflect.TypeFor[DatabaseGroup]()),
	KindService:            jsonFieldNames(reflect.TypeFor[Service]()),
	KindReadPolicy:         jsonFieldNames(reflect.TypeFor[ReadPolicy]()),
	KindStalenessAllowance: jsonFieldNames(reflect.TypeFor[StalenessAllowance]()),
	KindObjective:          jsonFieldNames(reflect.TypeFor[Objective]()),
	KindDatabase:           jsonFieldNames(reflect.TypeFor[Database]()),
	KindWorkspace:          jsonFieldNames(reflect.TypeFor[Workspace]()),
}

func jsonFieldNames(kind reflect.Type) []string {
	var names []string
	for _, field := range reflect.VisibleFields(kind) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

type checker struct {
	set     *Set
	objects map[Key]ParsedObject
	// keys holds where each key of a workspace is listed first.
	keys   map[string]keyPlace
	faults []Fault
}

// Check decodes a whole configuration and returns its duplicate names, dangling references,
// contradictions and numbers out of range, each in the order of the objects.
func Check(objects []ParsedObject) (*Set, []Fault) {
	c := &checker{set: NewSet(), objects: map[Key]ParsedObject{}, keys: map[string]keyPlace{}}
	for _, o := range objects {
		if earlier, ok := c.objects[o.key]; ok {
			line, _ := earlier.file.position(earlier.offset)
			c.addFault(o, fmt.Sprintf("the name is already used at %s:%d", earlier.file.name, line), "rename or remove one")
			continue
		}
		c.objects[o.key] = o
		if err := c.set.Put(o.key, o.body); err != nil {
			c.addFault(o, err.Error(), "mend the object")
		}
	}
	for _, o := range objects {
		c.checkObject(o)
	}
	return c.set, c.faults
}

func (c *checker) addFault(object ParsedObject, text, fix string) {
	c.faults = append(c.faults, object.file.newFault(object.offset, object.key.String(), text, fix))
}

func (c *checker) checkObject(object ParsedObject) {
	name := object.key.Name
	switch object.key.Kind {
	case KindDatabaseGroup:
		c.checkGroup(object, c.set.Groups[name])
	case KindService:
		c.checkService(object, c.set.Services[name])
	case KindReadPolicy:
		c.checkPolicy(object, c.set.ReadPolicies[name])
	case KindStalenessAllowance:
		c.checkRange(object, "milliseconds", c.set.StalenessAllowances[name].Milliseconds, 1, maxStalenessMilliseconds)
	case KindObjective:
		c.checkObjective(object, c.set.Objectives[name])
	case KindDatabase:
		c.checkDatabase(object, c.set.Databases[name])
	case KindWorkspace:
		c.checkWorkspace(object, c.set.Workspaces[name])
	}
}

func (c *checker) checkDatabase(object ParsedObject, database Database) {
	group, ok := c.set.Groups[database.Group]
	c.checkReference(object, KindDatabaseGroup, database.Group, ok)
	if ok && !group.Announced {
		c.addFault(object, fmt.Sprintf("database-group %q is not announced", database.Group), "reach it by its own name or set announced")
	}
	switch database.Consistency {
	case ConsistencyPrimary, ConsistencyBounded, ConsistencySession:
	default:
		c.addFault(object, fmt.Sprintf("consistency %q does not exist", database.Consistency), "use primary, bounded or session")
	}
	if database.StalenessAllowance != "" {
		_, ok := c.set.StalenessAllowances[database.StalenessAllowance]
		c.checkReference(object, KindStalenessAllowance, database.StalenessAllowance, ok)
	}
	c.checkRange(object, "statement-milliseconds", database.StatementMilliseconds, 1, maxLatencyMilliseconds)
}

func (c *checker) checkGroup(object ParsedObject, group DatabaseGroup) {
	if group.LearnedConcurrency && !group.Announced {
		c.addFault(object, "learned-concurrency has no effect on a group that is not announced", "remove it or set announced")
	}
	if group.Announced {
		c.checkAnnounced(object, group)
	} else if len(group.Slots) == 0 || len(group.Slots) > maxSlots || len(group.Slots)%2 == 0 {
		c.addFault(object, fmt.Sprintf("%d slots are listed", len(group.Slots)), fmt.Sprintf("list an odd number up to %d", maxSlots))
	}
	c.checkUnique(object, "slot", group.Slots)
	for _, slot := range group.Slots {
		if !validName(slot) {
			c.addFault(object, fmt.Sprintf("slot %q is not in kebab case", slot), "use lower-case letters, digits and hyphens")
		}
	}
	minimum := minConnections
	if group.Announced {
		minimum = minAnnouncedConnections
	}
	c.checkRange(object, "connections", group.Connections, minimum, maxConnections)
	switch group.Acknowledge {
	case "", AcknowledgeMajority, AcknowledgePrimaryOnly:
	default:
		c.addFault(object, fmt.Sprintf("acknowledge %q does not exist", group.Acknowledge), "use majority or primary-only")
	}
}

func (c *checker) checkAnnounced(object ParsedObject, group DatabaseGroup) {
	if len(group.Slots) > 0 {
		c.addFault(object, "an announced group lists slots", "remove the slots; its servers announce themselves")
	}
	if group.Acknowledge != AcknowledgePrimaryOnly {
		c.addFault(object, "an announced group cannot wait for a majority of its slots", "set acknowledge to primary-only")
	}
	c.checkRange(object, "synchronous-replicas", group.SynchronousReplicas, 0, maxSlots)
}

func (c *checker) checkService(object ParsedObject, service Service) {
	if len(service.Groups) == 0 {
		c.addFault(object, "the service has no group", "list at least one database-group")
	}
	c.checkUnique(object, "group", service.Groups)
	for _, group := range service.Groups {
		_, ok := c.set.Groups[group]
		c.checkReference(object, KindDatabaseGroup, group, ok)
		c.checkSingleService(object, group)
	}
	_, ok := c.set.ReadPolicies[service.ReadPolicy]
	c.checkReference(object, KindReadPolicy, service.ReadPolicy, ok)
	if service.Objective != "" {
		_, ok := c.set.Objectives[service.Objective]
		c.checkReference(object, KindObjective, service.Objective, ok)
	}
}

func (c *checker) checkSingleService(object ParsedObject, group string) {
	for name, other := range c.set.Services {
		if name >= object.key.Name {
			continue
		}
		for _, g := range other.Groups {
			if g == group {
				c.addFault(object, fmt.Sprintf("group %q already belongs to service %q", group, name), "list it in one service")
			}
		}
	}
}

func (c *checker) checkPolicy(object ParsedObject, policy ReadPolicy) {
	if policy.StalenessAllowance != "" {
		_, ok := c.set.StalenessAllowances[policy.StalenessAllowance]
		c.checkReference(object, KindStalenessAllowance, policy.StalenessAllowance, ok)
	}
	if !policy.Replicas && policy.StalenessAllowance != "" {
		c.addFault(object, "a staleness-allowance without replicas has no effect", "set replicas to true or remove the allowance")
	}
	c.checkRange(object, "wait-milliseconds", policy.WaitMilliseconds, 0, maxWaitMilliseconds)
}

func (c *checker) checkObjective(object ParsedObject, objective Objective) {
	if objective.AvailabilityPercent <= 0 || objective.AvailabilityPercent >= maxAvailabilityPercent {
		c.addFault(object, fmt.Sprintf("availability-percent %v leaves no budget", objective.AvailabilityPercent), "use a number above 0 and below 100")
	}
	c.checkRange(object, "latency-milliseconds", objective.LatencyMilliseconds, 1, maxLatencyMilliseconds)
	c.checkRange(object, "window-days", objective.WindowDays, 1, maxObjectiveDays)
}

func (c *checker) checkRange(object ParsedObject, field string, value, low, high int) {
	if value < low || value > high {
		c.addFault(object, fmt.Sprintf("%s is %d", field, value), fmt.Sprintf("use a number from %d to %d", low, high))
	}
}

func (c *checker) checkUnique(object ParsedObject, element string, names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		if seen[name] {
			c.addFault(object, fmt.Sprintf("%s %q is listed twice", element, name), "list it once")
		}
		seen[name] = true
	}
}

func (c *checker) checkReference(object ParsedObject, kind, name string, exists bool) {
	if !exists {
		c.addFault(object, fmt.Sprintf("%s %q does not exist", kind, name), "define it or name another")
	}
}
