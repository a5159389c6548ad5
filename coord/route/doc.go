// Package route selects the backend server for a read.
//
// PositionHistory keeps samples of the primary's position by time. They convert an age to a
// position: a replica that has replayed the primary's position as of a time is no staler than that
// time. RankReplicas orders the replicas that have replayed the floor or are predicted to do so
// within the time that the read may wait:
//
//	floor, ok := history.FloorAt(now.Add(-allowance))
//	candidates := route.RankReplicas(now, history, servers, route.Request{
//		Floor: floor, Term: term, MaxWait: 20 * time.Millisecond,
//	})
package route
