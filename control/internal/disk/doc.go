// Package disk keeps a control VM's log in its data folder.
//
// Every value carries a checksum. Save returns only once the effects are synced, and a folder
// that another process has open is refused.
package disk
