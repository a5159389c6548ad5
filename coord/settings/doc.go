// Package settings reads the daemons' settings files, which are JSON with comments; unknown keys are
// errors.
//
//	var s Settings
//	err := settings.Load("entry.hujson", &s)
package settings
