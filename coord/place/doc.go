// Package place assigns each group its owners among the entry VMs.
//
// Owners uses rendezvous hashing (Thaler and Ravishankar, 1998) over the list of VMs alone, so a
// VM that joins or leaves moves only the groups that it owns, and spreads the owners over failure
// domains. StickyOwners instead retains earlier owners and places the others by load:
//
//	owners := place.Owners("ledger-1", members, 3)
package place
