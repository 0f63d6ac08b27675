package model

import "time"

// Header is one header of a request or reply.
type Header struct {
	Name  string
	Value string
}

// Response is a complete response of an upstream, as it is passed to a caller.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// MergedResponse is the answer to a request over many shards.
type MergedResponse struct {
	Receipts      []string // of the parts it holds
	MissingShards int      // shards left out
	Records       []byte   // highest first
}

// ServiceTrace is what became of one shard or target of a request, for logs.
type ServiceTrace struct {
	Service  string
	Attempts []AttemptTrace
}

// AttemptTrace is one attempt on an upstream, for logs.
type AttemptTrace struct {
	Upstream UpstreamID
	Sent     time.Duration // after the request arrived
	Took     time.Duration // 0 when it had not ended
	Outcome  string        // "" when it had not ended
}
