// Package query runs callers' queries. It admits a query, pins it to one
// snapshot (version) of its index, sends an attempt to a replica of each shard,
// retries failed attempts and hedges slow ones, merges the answers, and states
// in the reply which shards it covers.
//
// A request without an idempotency key is idempotent and goes to every shard.
// One with a key runs on a single shard, after the ledger has granted the key,
// and its outcome is recorded before the caller gets it.
//
// # Usage
//
//	var t query.Table
//	out = t.Start(start, out)
//	out = t.View(at, view, out)
//	out = t.Request(at, request, out)   // effect.Send for each shard
//	out = t.Answered(at, answered, out) // effect.SendAnswer after the last shard
//
// A Table belongs to one traffic goroutine and takes no locks. Every method
// appends its effects to out and returns the extended slice.
package query
