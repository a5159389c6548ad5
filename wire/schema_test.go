package wire_test

import (
	"context"
	"testing"

	"github.com/bufbuild/protocompile"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"

	"trefoilcourse/wire"
)

func TestGeneratedCodeMatchesSchema(t *testing.T) {
	is := is.New(t)
	compiler := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}}
	generated := []protoreflect.FileDescriptor{
		wire.File_agreement_proto, wire.File_control_proto, wire.File_link_proto,
	}
	for _, g := range generated {
		files, err := compiler.Compile(context.Background(), g.Path())
		is.NoErr(err)
		want := protodesc.ToFileDescriptorProto(files[0])
		is.True(proto.Equal(want, protodesc.ToFileDescriptorProto(g))) // generated code is stale
	}
}
