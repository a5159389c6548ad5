// Package announce accepts backend servers' announcements over HTTP and JSON.
//
// A server posts to /v1/announce about once a second, to any entry VM. The answer tells it its
// group's term and primary:
//
//	{"group": "ledger-1", "slot": "a", "incarnation": "4f21", "address": "10.1.0.4:5432",
//	 "failure-domain": "bursa-a", "primary": true, "term": 4, "log-term": 4,
//	 "position": "0/4F2A10", "leaving": false}
package announce
