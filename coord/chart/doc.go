// Package chart interprets state charts from JSON files.
//
// A chart lists its events and, for each state, the next state on each event. Every state must
// handle every event, even if only by staying in the same state, so that no event is forgotten:
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
