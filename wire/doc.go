// Package wire holds the protobuf types that the system's processes exchange and store.
//
// The .proto files in this folder are the schema; the .pb.go files are generated from them:
//
//	protoc --go_out=. --go_opt=paths=source_relative *.proto
package wire
