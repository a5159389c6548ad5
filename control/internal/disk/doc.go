// Package disk stores a control VM's log in its data folder.
//
// Every value has a checksum. Save returns only after the effects are synced, and Open fails if
// another process has the folder open.
package disk
