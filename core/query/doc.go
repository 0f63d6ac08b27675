// Package query runs callers' queries. It admits a query, pins it to one
// snapshot (version) of its index, sends an attempt to a replica of each shard,
// retries failed attempts and hedges slow ones, merges the answers, and states
// in the reply which shards it covers.
//
// A request without an idempotency key is idempotent and goes to every shard.
// One with a key runs on a single shard, after the ledger has granted the key,
// and its outcome is recorded before the caller receives it.
//
// A request that might crash upstreams, as package crash decides, starts with an
// attempt on a single shard, the canary.
//
// # Usage
//
//	var t query.Table
//	out = t.Start(at, start, out)
//	out = t.HandleView(at, view, out)
//	out = t.HandleQueryRequest(at, request, out)  // effect.Send for each shard
//	out = t.HandleAnswerReceived(at, answer, out) // effect.SendAnswer at the end
//
// A Table is part of one traffic state, of which a process has several, and
// uses no locks, because one goroutine runs the state. Every method appends
// its effects to out and returns the extended slice.
package query
