// Package chart interprets state charts that are kept in JSON files.
//
// A chart names its events and, for each state, where each event leads. Every state must say
// something about every event, an event that is ignored included, so that none is forgotten:
//
//	{
//	  "initial": "closed",
//	  "events": ["open", "close"],
//	  "states": {
//	    "closed": {"open": "opened", "close": "closed"},
//	    "opened": {"open": "opened", "close": "closed"}
//	  }
//	}
package chart
