package model

import "net/netip"

// Daemon is an entry VM as the others know it.
type Daemon struct {
	ID      VMID
	Zone    Zone
	Gathers netip.AddrPort // where it takes portions of requests over many shards
}

// Portion is the part of a request over many shards that one VM gathers for
// another one.
type Portion struct {
	Version uint64 // of the document whose shards are meant
	Legs    []int  // numbers of the shards in the route, ascending
}

// Piece is what became of one shard of a portion. Without a receipt no answer
// will come, unless it is open.
type Piece struct {
	Leg     int
	Receipt string     // of the part; empty without one
	Tried   UpstreamID // the upstream that was asked; empty when none was
	Open    bool       // the answer may still come; another piece follows
}
