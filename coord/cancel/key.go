package cancel

import (
	"encoding/binary"
	"hash/fnv"
)

// secretSize is the size of the secret in PostgreSQL's cancel requests.
const secretSize = 4

// Key identifies a session among those of all entry VMs; 0 identifies none.
type Key uint64

// NewSecret returns the secret of a session of a VM; random tells apart sessions with one process ID.
func NewSecret(vm string, random uint16) []byte {
	secret := binary.BigEndian.AppendUint16(nil, Hash(vm))
	return binary.BigEndian.AppendUint16(secret, random)
}

// KeyOf packs a process ID and its secret; it returns 0 for a malformed secret.
func KeyOf(processID uint32, secret []byte) Key {
	if len(secret) != secretSize {
		return 0
	}
	return Key(processID)<<32 | Key(binary.BigEndian.Uint32(secret))
}

// ProcessID returns the process ID of the session.
func (k Key) ProcessID() uint32 { return uint32(k >> 32) }

// Hash returns the hash of the VM that serves the session.
func (k Key) Hash() uint16 { return uint16(k >> 16) }

// Hash returns the hash of a VM's name; different VMs may have the same.
func Hash(vm string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm))
	sum := h.Sum32()
	return uint16(sum>>16) ^ uint16(sum)
}
