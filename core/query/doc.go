// Package query runs the requests of one traffic state: it admits them, pins a
// snapshot, scatters one attempt to each shard, retries and hedges, merges the
// answers and replies with true coverage.
//
// # Usage
//
//	var t query.Table
//	out = t.Start(start, out)
//	out = t.View(at, view, out)
//	out = t.Request(at, request, out)   // effect.Send for each shard
//	out = t.Answered(at, answered, out) // effect.SendAnswer when whole
//
// All state is that of one traffic goroutine. Every method appends the effects
// to out and returns it.
package query
