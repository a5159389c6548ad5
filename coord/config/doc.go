// Package config holds the operators' objects and checks a whole set of them.
//
// A file is JSON with comments: kinds, then names, then fields. Objects refer to one another
// by name:
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
// Parse reports every fault of a file at once, each with its line, column and mend.
package config
