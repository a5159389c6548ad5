package config

import (
	"encoding/json"
	"fmt"
	"time"

	"trefoilcourse/wire"
)

// The kinds of objects.
const (
	KindDatabaseGroup      = "database-group"
	KindService            = "service"
	KindReadPolicy         = "read-policy"
	KindStalenessAllowance = "staleness-allowance"
	KindObjective          = "objective"
	KindDatabase           = "database"
)

// The values of a database's consistency field.
const (
	ConsistencyPrimary = "primary"
	ConsistencyBounded = "bounded"
	ConsistencySession = "session"
)

// The values of a database group's acknowledge field.
const (
	AcknowledgeMajority    = "majority"
	AcknowledgePrimaryOnly = "primary-only"
)

// Key names an object.
type Key struct {
	Kind string
	Name string
}

// String returns the key as kind/name.
func (k Key) String() string { return k.Kind + "/" + k.Name }

// DatabaseGroup is one database kept by several backend servers, each in a slot.
type DatabaseGroup struct {
	Slots       []string `json:"slots"`
	Connections int      `json:"connections"`
	Acknowledge string   `json:"acknowledge,omitempty"`
	// Announced groups have no fixed slots: their servers are those that announce themselves,
	// the platform that runs them promotes on request, and Connections is the limit of each.
	Announced                     bool `json:"announced,omitempty"`
	SynchronousReplicas           int  `json:"synchronous-replicas,omitempty"`
	IdleInTransactionMilliseconds int  `json:"idle-in-transaction-milliseconds,omitempty"`
}

// Database is a name under which callers reach a group, with the consistency of its reads.
type Database struct {
	Group                 string `json:"group"`
	Consistency           string `json:"consistency"`
	StalenessAllowance    string `json:"staleness-allowance,omitempty"`
	StatementMilliseconds int    `json:"statement-milliseconds"`
	LatencyMilliseconds   int    `json:"latency-milliseconds,omitempty"`
	// Priority is served first when it is lower; 0 is the first.
	Priority int `json:"priority,omitempty"`
}

// NeedsMajority reports whether a write is acknowledged only once a majority of slots has it.
func (g DatabaseGroup) NeedsMajority() bool { return g.Acknowledge != AcknowledgePrimaryOnly }

// Service is a set of groups with common policies.
type Service struct {
	Groups     []string `json:"groups"`
	ReadPolicy string   `json:"read-policy"`
	Objective  string   `json:"objective,omitempty"`
}

// ReadPolicy says whether and when reads go to replicas.
type ReadPolicy struct {
	Replicas           bool   `json:"replicas"`
	StalenessAllowance string `json:"staleness-allowance,omitempty"`
	WaitMilliseconds   int    `json:"wait-milliseconds,omitempty"`
}

// StalenessAllowance bounds the age of what a read may see.
type StalenessAllowance struct {
	Milliseconds int `json:"milliseconds"`
}

// Objective is a service level that the burn report measures against.
type Objective struct {
	AvailabilityPercent float64 `json:"availability-percent"`
	LatencyMilliseconds int     `json:"latency-milliseconds"`
	WindowDays          int     `json:"window-days"`
}

// Set is a whole configuration, decoded.
type Set struct {
	Groups              map[string]DatabaseGroup
	Services            map[string]Service
	ReadPolicies        map[string]ReadPolicy
	StalenessAllowances map[string]StalenessAllowance
	Objectives          map[string]Objective
	Databases           map[string]Database
}

// NewSet returns a set without objects.
func NewSet() *Set {
	return &Set{
		Groups: map[string]DatabaseGroup{}, Services: map[string]Service{},
		ReadPolicies: map[string]ReadPolicy{}, StalenessAllowances: map[string]StalenessAllowance{},
		Objectives: map[string]Objective{}, Databases: map[string]Database{},
	}
}

// Put decodes one object into the set.
func (s *Set) Put(key Key, body []byte) error {
	switch key.Kind {
	case KindDatabaseGroup:
		return put(s.Groups, key, body)
	case KindService:
		return put(s.Services, key, body)
	case KindReadPolicy:
		return put(s.ReadPolicies, key, body)
	case KindStalenessAllowance:
		return put(s.StalenessAllowances, key, body)
	case KindObjective:
		return put(s.Objectives, key, body)
	case KindDatabase:
		return put(s.Databases, key, body)
	}
	return fmt.Errorf("kind %q does not exist", key.Kind)
}

// ApplyChanges brings the set up to date with changed objects, or with whole set makes it consist of them.
// They were checked before they were accepted; one that does not decode is left out.
func (s *Set) ApplyChanges(objects []*wire.Object, whole bool) {
	if whole {
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
	}
}

func put[T any](objects map[string]T, key Key, body []byte) error {
	var object T
	if err := json.Unmarshal(body, &object); err != nil {
		return fmt.Errorf("object %s: %w", key, err)
	}
	objects[key.Name] = object
	return nil
}

// ServiceOf returns the name of the service that contains a group, or "".
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

// ResolvedReadPolicy is the resolved read policy of a group.
type ResolvedReadPolicy struct {
	Replicas     bool
	MaxStaleness time.Duration
	Wait         time.Duration
}

// ReadPolicyOf resolves the read policy of a group; a group without a service reads at its primary.
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

// MaxStalenessOf returns the age that a database's reads may have; 0 allows none.
func (s *Set) MaxStalenessOf(d Database) time.Duration {
	return time.Duration(s.StalenessAllowances[d.StalenessAllowance].Milliseconds) * time.Millisecond
}
