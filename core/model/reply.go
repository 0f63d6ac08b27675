package model

import "time"

// Header is one header of a request or reply.
type Header struct {
	Name  string
	Value string
}

// Reply is a complete response of an upstream, as it is passed to a caller.
type Reply struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Merged is the answer to a request over many shards.
type Merged struct {
	Receipts []string // of the parts it holds
	Missing  int      // shards left out
	Records  []byte   // highest first
}

// Leg is what became of one shard or target of a request, for logs.
type Leg struct {
	Service  string
	Attempts []Try
}

// Try is one attempt on an upstream, for logs.
type Try struct {
	Upstream UpstreamID
	Sent     time.Duration // after the request arrived
	Took     time.Duration // 0 when it had not ended
	Outcome  string        // "" when it had not ended
}
