package config

import (
	"encoding/json"
	"fmt"
	"time"

	"trefoilcourse/wire"
)

// Kinds of objects.
const (
	KindDatabaseGroup      = "database-group"
	KindService            = "service"
	KindReadPolicy         = "read-policy"
	KindStalenessAllowance = "staleness-allowance"
	KindObjective          = "objective"
	KindDatabase           = "database"
	KindWorkspace          = "workspace"
)

// Values of a database's consistency field.
const (
	ConsistencyPrimary = "primary"
	ConsistencyBounded = "bounded"
	ConsistencySession = "session"
)

// Values of a database group's acknowledge field.
const (
	AcknowledgeMajority    = "majority"
	AcknowledgePrimaryOnly = "primary-only"
)

// Key identifies an object by its kind and name.
type Key struct {
	Kind string
	Name string
}

// String returns the key as kind/name.
func (k Key) String() string { return k.Kind + "/" + k.Name }

// DatabaseGroup is one database that is replicated to several backend servers, each in a slot.
type DatabaseGroup struct {
	Slots       []string `json:"slots"`
	Connections int      `json:"connections"`
	Acknowledge string   `json:"acknowledge,omitempty"`
	// Announced groups have no fixed slots: their servers announce themselves, the platform that
	// runs them promotes on request, and Connections is the limit of each server.
	Announced                     bool `json:"announced,omitempty"`
	SynchronousReplicas           int  `json:"synchronous-replicas,omitempty"`
	IdleInTransactionMilliseconds int  `json:"idle-in-transaction-milliseconds,omitempty"`
	// LearnedConcurrency lets owners run fewer statements on a server than it announces, as they learn
	// how many it handles well.
	LearnedConcurrency bool `json:"learned-concurrency,omitempty"`
}

// Database is a name by which callers address a group, with the consistency of its reads.
type Database struct {
	Group                 string `json:"group"`
	Consistency           string `json:"consistency"`
	StalenessAllowance    string `json:"staleness-allowance,omitempty"`
	StatementMilliseconds int    `json:"statement-milliseconds"`
	LatencyMilliseconds   int    `json:"latency-milliseconds,omitempty"`
	// Priority orders waiting statements; lower numbers are served first.
	Priority int `json:"priority,omitempty"`
	// Public databases are open to every caller, also if workspaces are configured.
	Public bool `json:"public,omitempty"`
}

// Workspace is an organization whose callers share API keys and a usage cap.
type Workspace struct {
	// Keys identify its callers.
	Keys []string `json:"keys"`
	// OperationsPerSecond and Burst cap the operations that may start on all VMs together; without a
	// rate there is no cap.
	OperationsPerSecond float64 `json:"operations-per-second,omitempty"`
	Burst               int     `json:"burst,omitempty"`
}

// NeedsMajority reports whether a write is acknowledged only after a majority of slots has it.
func (g DatabaseGroup) NeedsMajority() bool { return g.Acknowledge != AcknowledgePrimaryOnly }

// Service is a set of groups with the same read policy and objective.
type Service struct {
	Groups     []string `json:"groups"`
	ReadPolicy string   `json:"read-policy"`
	Objective  string   `json:"objective,omitempty"`
}

// ReadPolicy says whether replicas serve reads, how stale those may be and how long they may wait.
type ReadPolicy struct {
	Replicas           bool   `json:"replicas"`
	StalenessAllowance string `json:"staleness-allowance,omitempty"`
	WaitMilliseconds   int    `json:"wait-milliseconds,omitempty"`
}

// StalenessAllowance limits the staleness of the data that a read returns.
type StalenessAllowance struct {
	Milliseconds int `json:"milliseconds"`
}

// Objective is a service level objective that the burn-rate report evaluates.
type Objective struct {
	AvailabilityPercent float64 `json:"availability-percent"`
	LatencyMilliseconds int     `json:"latency-milliseconds"`
	WindowDays          int     `json:"window-days"`
}

// Set is a decoded configuration, with its objects by name.
type Set struct {
	Groups              map[string]DatabaseGroup
	Services            map[string]Service
	ReadPolicies        map[string]ReadPolicy
	StalenessAllowances map[string]StalenessAllowance
	Objectives          map[string]Objective
	Databases           map[string]Database
	Workspaces          map[string]Workspace
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		Groups: map[string]DatabaseGroup{}, Services: map[string]Service{},
		ReadPolicies: map[string]ReadPolicy{}, StalenessAllowances: map[string]StalenessAllowance{},
		Objectives: map[string]Objective{}, Databases: map[string]Database{},
		Workspaces: map[string]Workspace{},
	}
}

// Put decodes one object into the set.
func (s *Set) Put(key Key, body []byte) error {
	switch key.Kind {
	case KindDatabaseGroup:
		return decodeInto(s.Groups, key, body)
	case KindService:
		return decodeInto(s.Services, key, body)
	case KindReadPolicy:
		return decodeInto(s.ReadPolicies, key, body)
	case KindStalenessAllowance:
		return decodeInto(s.StalenessAllowances, key, body)
	case KindObjective:
		return decodeInto(s.Objectives, key, body)
	case KindDatabase:
		return decodeInto(s.Databases, key, body)
	case KindWorkspace:
		return decodeInto(s.Workspaces, key, body)
	}
	return fmt.Errorf("kind %q does not exist", key.Kind)
}

// ApplyChanges applies changed objects to the set, or replaces its contents by them if replace is set.
// Objects are validated before they are accepted, so one that does not decode is skipped.
func (s *Set) ApplyChanges(objects []*wire.Object, replace bool) {
	if replace {
		*s = *NewSet()
	}
	for _, o := range objects {
		key := Key{Kind: o.GetKind(), Name: o.GetName()}
		if o.GetDeleted() {
			s.Delete(key)
			continue
		}
		_ = s.Put(key, o.GetBody())
	}
}

// Delete removes one object from the set.
func (s *Set) Delete(key Key) {
	switch key.Kind {
	case KindDatabaseGroup:
		delete(s.Groups, key.Name)
	case KindService:
		delete(s.Services, key.Name)
	case KindReadPolicy:
		delete(s.ReadPolicies, key.Name)
	case KindStalenessAllowance:
		delete(s.StalenessAllowances, key.Name)
	case KindObjective:
		delete(s.Objectives, key.Name)
	case KindDatabase:
		delete(s.Databases, key.Name)
	case KindWorkspace:
		delete(s.Workspaces, key.Name)
	}
}

func decodeInto[T any](objects map[string]T, key Key, body []byte) error {
	var object T
	if err := json.Unmarshal(body, &object); err != nil {
		return fmt.Errorf("object %s: %w", key, err)
	}
	objects[key.Name] = object
	return nil
}

// ServiceOf returns the name of the service that contains the group, or "".
func (s *Set) ServiceOf(group string) string {
	for name, service := range s.Services {
		for _, g := range service.Groups {
			if g == group {
				return name
			}
		}
	}
	return ""
}

// ResolvedReadPolicy is the read policy of a group with its staleness allowance resolved.
type ResolvedReadPolicy struct {
	Replicas     bool
	MaxStaleness time.Duration
	Wait         time.Duration
}

// ReadPolicyOf resolves the read policy of a group; without a service, reads go to the primary.
func (s *Set) ReadPolicyOf(group string) ResolvedReadPolicy {
	service, ok := s.Services[s.ServiceOf(group)]
	if !ok {
		return ResolvedReadPolicy{}
	}
	policy := s.ReadPolicies[service.ReadPolicy]
	allowance := s.StalenessAllowances[policy.StalenessAllowance]
	return ResolvedReadPolicy{
		Replicas:     policy.Replicas,
		MaxStaleness: time.Duration(allowance.Milliseconds) * time.Millisecond,
		Wait:         time.Duration(policy.WaitMilliseconds) * time.Millisecond,
	}
}

// MaxStalenessOf returns the maximum staleness of a database's reads; 0 allows none.
func (s *Set) MaxStalenessOf(database Database) time.Duration {
	return time.Duration(s.StalenessAllowances[database.StalenessAllowance].Milliseconds) * time.Millisecond
}
