// Package stub is a stand-in upstream. It serves made-up contents that can be
// computed again by a checker, and it fails in the ways that real upstreams do.
//
// # Usage
//
//	s := stub.New(stub.Config{ID: "u1", Slots: 3, Holds: []stub.Holding{{Index: "pairing", Version: 1, Shards: 10, Shard: []int{0}}}})
//	http.Serve(listener, s)
//	for _, run := range s.Runs() { ... }
//
// Times are durations; service times are drawn from a seeded source.
package stub
