// Package model holds the domain types that the reducer, its events and its
// effects share: identifiers, contracts, the routing document, upstreams, VMs,
// snapshots, coverage, and the typed reasons of refusals and failures.
//
// # Usage
//
// The types are plain data. Values that cross a goroutine boundary, such as a
// [Topology], are immutable once published. Fields with a msgpack tag keep the
// name in the tag in messages between VMs and in files.
//
//	contract := model.Contract{Customer: "tabadul", Classes: []model.Class{{Wait: 80 * time.Millisecond, Price: 3}}}
//	class, ok := contract.ClassFor(100 * time.Millisecond)
//
// Times are of type time.Duration; coverage, capacity and the retry budget are
// fractions between 0 and 1.
package model
