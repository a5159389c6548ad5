package directory

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
	"trefoilcourse/wire/packed"
)

// Parts is the number of parts into which names are hashed; each is compared and sent by itself.
const Parts = 16

// key identifies an entry: a group or an entry VM.
type key struct {
	group bool
	name  string
}

func (k key) part() int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(k.name))
	return int(sum.Sum32() % Parts)
}

// Contents is a directory with the digests of its parts; the zero value is empty. It is not safe for
// concurrent use.
type Contents struct {
	members map[string]*wire.Member
	groups  map[string]*wire.GroupState
	hashes  map[key]uint64
	// sizes are those of the entries, encoded.
	sizes   map[key]int
	digests [Parts]uint64
}

// Member returns an entry VM, or nil if the directory does not list it.
func (c *Contents) Member(vm string) *wire.Member { return c.members[vm] }

// Group returns a group, or nil if it does not exist.
func (c *Contents) Group(name string) *wire.GroupState { return c.groups[name] }

// Members returns the listed entry VMs, sorted by name.
func (c *Contents) Members() []*wire.Member {
	members := make([]*wire.Member, 0, len(c.members))
	for _, vm := range slices.Sorted(maps.Keys(c.members)) {
		members = append(members, c.members[vm])
	}
	return members
}

// Digests returns the digest of each part. Equal contents have equal digests, whatever the order of
// the changes that led to them.
func (c *Contents) Digests() []uint64 { return slices.Clone(c.digests[:]) }

// Apply applies the directory changes in the answer to a renewal; after an error nothing has changed.
func (c *Contents) Apply(response *wire.RenewResponse) error {
	members, groups := response.GetMembers(), response.GetGroups()
	if data := response.GetDirectoryPacked(); len(data) > 0 {
		whole := &wire.Directory{}
		if err := packed.Unmarshal(data, whole); err != nil {
			return err
		}
		*c = Contents{}
		members, groups = whole.GetMembers(), whole.GetGroups()
	}
	if response.GetDirectoryWhole() {
		*c = Contents{}
	}
	for _, part := range response.GetDirectoryParts() {
		c.clearPart(int(part))
	}
	for _, m := range members {
		c.putMember(m)
	}
	for _, g := range groups {
		c.putGroup(g)
	}
	return nil
}

func (c *Contents) clearPart(part int) {
	for k := range c.hashes {
		switch {
		case k.part() != part:
		case k.group:
			c.putGroup(&wire.GroupState{Group: k.name, Gone: true})
		default:
			c.putMember(&wire.Member{Vm: k.name, Gone: true})
		}
	}
}

// putMember stores or removes an entry VM and reports whether that changed the contents.
func (c *Contents) putMember(m *wire.Member) bool {
	k := key{false, m.GetVm()}
	if m.GetGone() {
		delete(c.members, k.name)
		return c.rehash(k, 0, 0)
	}
	if c.members == nil {
		c.members = map[string]*wire.Member{}
	}
	c.members[k.name] = m
	hash, size := hashOf(k, m)
	return c.rehash(k, hash, size)
}

// putGroup stores or removes a group and reports whether that changed the contents.
func (c *Contents) putGroup(g *wire.GroupState) bool {
	k := key{true, g.GetGroup()}
	if g.GetGone() {
		delete(c.groups, k.name)
		return c.rehash(k, 0, 0)
	}
	if c.groups == nil {
		c.groups = map[string]*wire.GroupState{}
	}
	c.groups[k.name] = g
	hash, size := hashOf(k, g)
	return c.rehash(k, hash, size)
}

// rehash replaces the hash and the size of an entry, 0 for one that was removed, and reports whether the
// hash changed.
func (c *Contents) rehash(k key, hash uint64, size int) bool {
	old := c.hashes[k]
	if old == hash {
		return false
	}
	c.digests[k.part()] ^= old ^ hash
	if hash == 0 {
		delete(c.hashes, k)
		delete(c.sizes, k)
		return true
	}
	if c.hashes == nil {
		c.hashes = map[key]uint64{}
		c.sizes = map[key]int{}
	}
	c.hashes[k] = hash
	c.sizes[k] = size
	return true
}

// hashOf returns a hash of an entry that is not 0, and its encoded size.
func hashOf(k key, m proto.Message) (hash uint64, size int) {
	kind := byte('m')
	if k.group {
		kind = 'g'
	}
	data, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend([]byte{kind}, m)
	if err != nil {
		// Only text that is not UTF-8 cannot be encoded, and decoded messages have none.
		return 1, proto.Size(m)
	}
	sum := sha256.Sum256(data)
	return max(1, binary.BigEndian.Uint64(sum[:8])), len(data)
}
