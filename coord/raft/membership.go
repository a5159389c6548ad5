package raft

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
)

// Key identifies a control VM together with one incarnation of its data folder.
func Key(vm, incarnation string) string { return vm + "/" + incarnation }

// MemberKey returns the key of a member.
func MemberKey(m *wire.ControlMember) string { return Key(m.GetVm(), m.GetIncarnation()) }

// voterKeys returns the keys of the voting members.
func voterKeys(m *wire.Membership) []string {
	var keys []string
	for _, member := range m.GetMembers() {
		if member.GetVoter() {
			keys = append(keys, MemberKey(member))
		}
	}
	return keys
}

func isVoter(m *wire.Membership, key string) bool {
	for _, member := range m.GetMembers() {
		if MemberKey(member) == key {
			return member.GetVoter()
		}
	}
	return false
}

func isMember(m *wire.Membership, key string) bool {
	for _, member := range m.GetMembers() {
		if MemberKey(member) == key {
			return true
		}
	}
	return false
}

// checkMembershipChange returns an error if current and next differ by more than one voter, or if
// next has no voter.
func checkMembershipChange(current, next *wire.Membership) error {
	added := difference(voterKeys(next), voterKeys(current))
	removed := difference(voterKeys(current), voterKeys(next))
	if len(added)+len(removed) > 1 {
		return fmt.Errorf("membership change touches %d voters; one at a time is allowed", len(added)+len(removed))
	}
	if len(voterKeys(next)) == 0 {
		return fmt.Errorf("membership change leaves no voter")
	}
	return nil
}

// difference returns the elements of a that are not in b.
func difference(a, b []string) []string {
	excluded := map[string]bool{}
	for _, key := range b {
		excluded[key] = true
	}
	var rest []string
	for _, key := range a {
		if !excluded[key] {
			rest = append(rest, key)
		}
	}
	return rest
}

func decodeMembership(data []byte) *wire.Membership {
	m := &wire.Membership{}
	if err := proto.Unmarshal(data, m); err != nil {
		panic(fmt.Sprintf("raft: decode membership entry: %v", err))
	}
	return m
}

func encodeMembership(m *wire.Membership) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("raft: encode membership: %v", err))
	}
	return data
}
