// Package settings reads the daemons' settings files: JSON with comments, unknown keys refused.
//
//	var s Settings
//	err := settings.Load("entry.hujson", &s)
package settings
