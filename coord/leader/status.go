package leader

import (
	"maps"
	"slices"
	"time"

	"trefoilcourse/coord/cancel"
	"trefoilcourse/wire"
)

// Status returns the leader's view of the members and groups.
func (l *Leader) Status(now time.Time) *wire.StatusResponse {
	s := &wire.StatusResponse{Leading: true, ControlTerm: l.term, ConfigurationVersion: l.configurationVersion}
	for _, vm := range slices.Sorted(maps.Keys(l.members)) {
		m := l.members[vm]
		s.Members = append(s.Members, &wire.MemberStatus{
			Member: m.directoryEntry, ConfigurationVersion: m.configurationVersion,
			AgeMilliseconds: uint32(now.Sub(m.renewed).Milliseconds()),
		})
	}
	for _, name := range slices.Sorted(maps.Keys(l.groups)) {
		g := l.groups[name]
		status := &wire.GroupStatus{Phase: g.failover.State(), Note: g.failover.Note()}
		status.State = l.directory.Group(name)
		s.Groups = append(s.Groups, status)
	}
	return s
}

// MembersByCancelHash returns the entry VMs that are up and have the hash, sorted by name.
func (l *Leader) MembersByCancelHash(hash uint16) []*wire.Member {
	var found []*wire.Member
	for _, vm := range slices.Sorted(maps.Keys(l.members)) {
		if cancel.Hash(vm) == hash {
			found = append(found, l.members[vm].directoryEntry)
		}
	}
	return found
}
