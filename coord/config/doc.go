// Package config parses and validates the operators' configuration.
//
// A file is JSON with comments that maps kinds to names to the fields of an object. Objects refer
// to one another by name:
//
//	{
//	  "database-group": {
//	    "ledger-1": {"slots": ["a", "b", "c"], "connections": 45}
//	  },
//	  "service": {
//	    "ledger": {"groups": ["ledger-1"], "read-policy": "fresh"}
//	  },
//	  "read-policy": {"fresh": {"replicas": true}}
//	}
//
// Parse reports all faults of a file at once, each with its line, its column and a suggested fix.
package config
