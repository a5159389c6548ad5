// Package identity provides TLS configurations from certificate files and reloads the files when
// they change, so that a renewed certificate needs no restart.
//
//	id := &identity.Identity{Files: identity.Files{Certificate: "vm.pem", Key: "vm.key", Authority: "ca.pem"}}
//	listener = tls.NewListener(listener, id.MutualTLSConfig())
package identity
