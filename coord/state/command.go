package state

import (
	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
	"trefoilcourse/wire/packed"
)

// packAbove is the size in bytes above which a command is packed: it crosses the network to each
// control VM and is synced there, and a large one is a configuration, which packs to a tenth.
const packAbove = 8 << 10

// Encode returns a command as Apply takes it.
func Encode(c *wire.Command) ([]byte, error) {
	if proto.Size(c) > packAbove {
		data, err := packed.Marshal(c)
		if err != nil {
			return nil, err
		}
		c = &wire.Command{Packed: data}
	}
	return proto.Marshal(c)
}

func decode(data []byte) (*wire.Command, error) {
	c := &wire.Command{}
	if err := proto.Unmarshal(data, c); err != nil {
		return nil, err
	}
	if len(c.GetPacked()) == 0 {
		return c, nil
	}
	inner := &wire.Command{}
	return inner, packed.Unmarshal(c.GetPacked(), inner)
}
