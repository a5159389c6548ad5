package raft

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
)

// Key names a control VM in one life of its data folder.
func Key(vm, incarnation string) string { return vm + "/" + incarnation }

// MemberKey returns the key of m.
func MemberKey(m *wire.ControlMember) string { return Key(m.GetVm(), m.GetIncarnation()) }

// voters returns the keys of the voting members.
func voters(m *wire.Membership) []string {
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

// checkChange returns an error unless at most one voter differs between before and after.
func checkChange(before, after *wire.Membership) error {
	added := difference(voters(after), voters(before))
	removed := difference(voters(before), voters(after))
	if len(added)+len(removed) > 1 {
		return fmt.Errorf("membership change touches %d voters; one at a time is allowed", len(added)+len(removed))
	}
	if len(voters(after)) == 0 {
		return fmt.Errorf("membership change leaves no voter")
	}
	return nil
}

func difference(a, b []string) []string {
	known := map[string]bool{}
	for _, key := range b {
		known[key] = true
	}
	var rest []string
	for _, key := range a {
		if !known[key] {
			rest = append(rest, key)
		}
	}
	return rest
}

func decodeMembership(data []byte) *wire.Membership {
	m := &wire.Membership{}
	if err := proto.Unmarshal(data, m); err != nil {
		panic(fmt.Sprintf("raft: membership entry does not decode: %v", err))
	}
	return m
}

func encodeMembership(m *wire.Membership) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("raft: membership does not encode: %v", err))
	}
	return data
}
