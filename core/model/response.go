package model

import "time"

// Header is one HTTP header.
type Header struct {
	Name  string
	Value string
}

// Response is an upstream's complete HTTP response, which is passed to the caller.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// MergedResponse is the answer to a request over several shards.
type MergedResponse struct {
	Receipts      []string // receipts of the included shards' answers
	MissingShards int      // number of shards left out
	Records       []byte   // merged top records, highest first
}

// ServiceTrace lists the attempts for one shard or target of a request, for logs.
type ServiceTrace struct {
	Service  string
	Attempts []AttemptTrace
}

// AttemptTrace is one attempt on an upstream, for logs.
type AttemptTrace struct {
	Upstream UpstreamID
	Sent     time.Duration // time from the arrival of the request
	Took     time.Duration // 0 while it had not ended
	Outcome  string        // empty while it had not ended
}
