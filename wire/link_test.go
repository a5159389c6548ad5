package wire_test

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
)

// TestStatementsCarryAnyBytes guards against a field of a statement, of its answer or of a unit of work that holds what callers and servers
// send, and cannot be encoded because that is not UTF-8.
func TestStatementsCarryAnyBytes(t *testing.T) {
	is := is.New(t)
	const data = "\xff\x00\r\n\x80"
	for _, m := range []proto.Message{
		&wire.Open{User: data, RequestKey: data},
		&wire.StatementRequest{Id: data, Text: data, Definition: data, Settings: []*wire.Setting{{Name: data, Value: data}}},
		&wire.StatementAnswer{Rows: []string{data, ""}, Signature: data, Code: data, Message: data, Reason: data},
	} {
		encoded, err := proto.Marshal(m)
		is.NoErr(err)
		decoded := m.ProtoReflect().New().Interface()
		is.NoErr(proto.Unmarshal(encoded, decoded))
		is.True(proto.Equal(m, decoded))
	}
}
