package model

import "net/netip"

// EntryVM describes an entry VM to the other VMs.
type EntryVM struct {
	ID          VMID
	Zone        Zone
	PortionAddr netip.AddrPort `msgpack:"Gathers"` // listener for portions; zero when it accepts none
}

// Portion is a group of a request's shards that one VM delegates to another, which
// queries them and merges their records.
type Portion struct {
	DocumentVersion uint64 // of the routing document that numbers the shards
	Shards          []int  // indexes into the route's Shards, ascending
	Team            string // whose request it is; empty without one
}

// Handover accompanies a request that a VM hands over as a whole to another one,
// because it reaches no upstream itself. The other VM serves it like a caller's
// request, but does not hand it over again.
type Handover struct {
	DocumentVersion uint64 // least version by which the request may be served
	MaxAttempts     int    // attempts that are left for each service
	Metered         bool   // the request has a token of its customer's limit
}

// ShardResult is the result of one shard of a portion. Without a Receipt the
// shard has failed, unless it is Pending.
type ShardResult struct {
	Shard    int        `msgpack:"Leg"`     // index into the route's Shards
	Receipt  string     `msgpack:"Receipt"` // of the shard's answer; empty without an answer
	Upstream UpstreamID `msgpack:"Tried"`   // that the attempt was sent to; empty when there was none
	Leaving  bool       // the upstream has said that it is about to stop
	Pending  bool       `msgpack:"Open"` // the answer may still arrive; another result follows
}
