// Package workspace decides which workspace a caller's key stands for, and for how long a VM may rely
// on the keys that it knows.
//
// A View holds the keys of one version of the configuration and the time at which that version was last
// known to be in force. A session is admitted once, and each of its statements is checked again:
//
//	v.Configure(version, set.Workspaces)
//	v.Confirm(sentAt, response.GetConfigurationVersion())
//	caller, refusal := v.Admit(now, lifetime, config.KeyDigest(key), database.Public)
//	...
//	caller, refusal = v.Check(now, lifetime, caller, database.Public)
package workspace
