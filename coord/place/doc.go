// Package place says which entry VMs own a group, from the list of VMs alone.
//
// It uses rendezvous hashing (Thaler and Ravishankar, 1998), so that a VM that comes or goes
// moves only the groups that it owns, and spreads the owners over failure domains:
//
//	owners := place.Owners("ledger-1", members, 3)
package place
