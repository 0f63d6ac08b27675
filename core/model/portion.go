package model

import "net/netip"

// EntryVM is an entry VM as the others know it.
type EntryVM struct {
	ID          VMID
	Zone        Zone
	PortionAddr netip.AddrPort `msgpack:"Gathers"` // where it takes portions of requests over many shards
}

// Portion is the part of a request over many shards that one VM gathers for
// another one.
type Portion struct {
	DocumentVersion uint64 // of the document whose shards are meant
	Shards          []int  // numbers of the shards in the route, ascending
}

// ShardResult is what became of one shard of a portion. Without a receipt no answer
// will come, unless it is open.
type ShardResult struct {
	Shard    int        `msgpack:"Leg"`
	Receipt  string     // of the part; empty without one
	Upstream UpstreamID `msgpack:"Tried"` // the upstream that was asked; empty when none was
	Pending  bool       `msgpack:"Open"`  // the answer may still come; another piece follows
}
