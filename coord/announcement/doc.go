// Package announcement tells the announcements of backend servers from others.
//
// Whoever reaches a VM can send one. What it contains is recorded, sent to every entry VM and written to
// connections, so a VM that receives one checks it before it does anything else with it:
//
//	if err := announcement.Check(a); err != nil {
//		var problem *announcement.Error // names the field
//		...
//	}
package announcement
