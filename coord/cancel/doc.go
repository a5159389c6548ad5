// Package cancel defines the keys with which callers cancel a statement through any entry VM.
//
// A key holds a hash of the VM that serves the session, so that another VM can find that one:
//
//	secret := cancel.NewSecret(vm, random)
//	key := cancel.KeyOf(processID, secret)
//	local := key.Hash() == cancel.Hash(vm)
package cancel
