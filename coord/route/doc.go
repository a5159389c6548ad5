// Package route chooses the server of a read.
//
// Sightings remember which positions the primary had at which times. They turn an age into a
// position: a replica that has replayed what the primary had at a time is no older than that.
// Choose then ranks the servers that have the position already, or are predicted to have it
// sooner than the read may wait:
//
//	floor, ok := sightings.FloorAt(now.Add(-allowance))
//	choices := route.Choose(now, servers, route.Request{Floor: floor, Wait: 20 * time.Millisecond})
package route
