// Package directory holds what entry VMs need to know to reach the owners of each group: the groups
// with their servers and owners, and the addresses of the owners.
//
// The control leader publishes the directory in the answers to renewals. A Publisher answers a VM
// that has an earlier revision with the changes since then. Revisions do not outlive a leader, but
// the content does: a Publisher of a later term compares the digests of the parts that a VM holds
// with its own and sends only parts that differ. A VM that holds nothing gets a packed copy of the
// whole. Parts and copies are sent no faster than a fraction of the leader's link, so that renewals
// and the messages between control VMs do not wait behind them:
//
//	p := &directory.Publisher{Epoch: term}
//	p.PutMember(now, member)
//	p.PutGroup(now, state, nil)
//	wait := p.Answer(now, request, response)
//
// An entry VM applies the answers to Contents:
//
//	contents.Apply(response)
//	request.DirectoryDigests = contents.Digests()
package directory
