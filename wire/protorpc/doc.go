// Package protorpc carries protobuf messages over net/rpc.
//
// A server registers a type whose methods have net/rpc signatures with protobuf arguments:
//
//	server := rpc.NewServer()
//	_ = server.RegisterName("Control", service)
//	go server.ServeCodec(protorpc.NewServerCodec(conn, nil))
//
// A Client keeps one connection to an address and ends each call with its context:
//
//	client := &protorpc.Client{Address: "127.0.0.1:7101"}
//	err := client.Call(ctx, "Control.Renew", request, response)
package protorpc
