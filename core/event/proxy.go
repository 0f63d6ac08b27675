package event

import (
	"time"

	"comfreypulley/core/model"
)

// ProxyRequest is a request to be forwarded along a route of the routing
// document: a caller's, or another VM's for a portion of one. The front end keeps
// its method, headers and body.
type ProxyRequest struct {
	ID              model.RequestID
	CallerRequestID string // request id chosen by the caller, for logs
	Host            string
	Path            string
	Wait            time.Duration // how long the caller waits for the response; 0 when not stated
	Fingerprint     model.Fingerprint
	Key             model.KeyHash   // of the key with which the caller authenticates; zero without one
	Portion         *model.Portion  // the shards that another VM requests; nil for a caller's request
	Handover        *model.Handover // set when another VM hands the request over
	NewConn         bool            // the caller has just opened the connection; this is the first request on it
	RoundTrip       time.Duration   // between this VM and the caller, on the network; 0 when unknown
}

// PortionResult is another VM's answer to an attempt to have it query a
// portion. The answer arrives in one or more frames, each a PortionResult.
type PortionResult struct {
	Attempt model.AttemptID
	Results []model.ShardResult
	Records []byte // merged top records of the shards in Results, highest first
	More    bool   // further frames follow
}

// HandoverAccepted reports, before the HandoverResult of the same attempt, that another
// VM serves a request by a newer document than this VM knew of.
type HandoverAccepted struct {
	Attempt         model.AttemptID
	DocumentVersion uint64
}

// HandoverResult is another VM's answer to a request that was handed over to it.
type HandoverResult struct {
	Attempt  model.AttemptID
	Response model.Response     // passed to the caller unchanged
	Leaving  []model.UpstreamID // upstreams that said in the answer that they are about to stop
	Refusal  *model.Refusal     // the other VM did not serve the request; Response is then not set
}

// ResponseReceived is an upstream's complete response to an effect.Forward.
type ResponseReceived struct {
	Attempt       model.AttemptID
	Response      model.Response
	Receipt       string        // proof that an upstream answered, from a response header; empty without one
	NotRun        bool          // the upstream states that it did not execute the request
	WrongUpstream bool          // the response came from an upstream other than the intended one
	ClosesConn    bool          // the upstream closes the connection after this response
	RetryAfter    time.Duration // from the Retry-After header; 0 when absent
	Load          *model.Load   // nil when the upstream did not report its load
	Leaving       bool          // the upstream is about to stop and wants no new requests
	Limit         *model.Limit  // nil when the upstream stated no limit
	NewConn       bool          // a new connection was opened for the attempt
}

// ConnChecked is the result of an effect.OpenConn.
type ConnChecked struct {
	Upstream model.UpstreamID
	Opened   bool
}

func (ConnChecked) body()      {}
func (ProxyRequest) body()     {}
func (ResponseReceived) body() {}
func (HandoverAccepted) body() {}
func (HandoverResult) body()   {}
func (PortionResult) body()    {}
