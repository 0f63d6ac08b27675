// Package model holds the domain types that the reducer, its events and its
// effects share: identifiers, contracts, upstreams, VMs, snapshots, coverage
// and the typed reasons for refusals and retries.
//
// # Usage
//
// The types are plain data. Values that cross a goroutine boundary, such as a
// [Topology], are treated as immutable once they have been published.
//
//	contract := model.Contract{Customer: "tabadul", Classes: []model.Class{{Wait: 80 * time.Millisecond, Price: 3}}}
//	class, ok := contract.ClassFor(100 * time.Millisecond)
//
// The units are those of the field types: time.Duration for waits, a share
// between 0 and 1 for coverage, capacity and extra load.
package model
