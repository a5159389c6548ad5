// Package protorpc carries protobuf messages over net/rpc.
//
// A server registers a type whose methods have the net/rpc shape with protobuf arguments:
//
//	server := rpc.NewServer()
//	_ = server.RegisterName("Control", service)
//	go server.ServeCodec(protorpc.NewServerCodec(conn))
//
// A Client keeps one connection to an address and gives every call a deadline:
//
//	client := &protorpc.Client{Address: "127.0.0.1:7101"}
//	err := client.Call(ctx, "Control.Renew", request, response)
package protorpc
