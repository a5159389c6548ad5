package state

import (
	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
	"trefoilcourse/wire/packed"
)

// packThreshold is the size in bytes above which a command is packed. Each command is sent to every
// control VM and synced there; a large one holds a configuration, which packs to a tenth of its size.
const packThreshold = 8 << 10

// Encode encodes a command for Apply.
func Encode(c *wire.Command) ([]byte, error) {
	if proto.Size(c) > packThreshold {
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
