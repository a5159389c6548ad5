// Package burn works out from samples of the daemons' counters how fast services use up what
// their objectives allow to fail.
//
// A counter belongs to one life of a daemon, so that restarts double nothing; what a daemon
// counted after its last sample and before it stopped is lost.
package burn
