package effect

import (
	"net/netip"
	"time"

	"comfreypulley/core/model"
)

// Forward sends a caller's request to an upstream as it came. Its end comes
// back as event.ResponseReceived or event.AttemptFailed, exactly once, also after Cancel.
type Forward struct {
	Attempt        model.AttemptID
	Request        model.RequestID
	Upstream       model.UpstreamID
	Addr           netip.AddrPort
	Timeout        time.Duration  // what is left of the caller's time
	BodyOnly       bool           // only the receipt and the body of the answer are needed
	IdleTimeout    time.Duration  // longest idle time of the connection afterwards; 0 for what the front end keeps by itself
	AvoidStaleConn bool           // use no connection that was idle for long: the request must not run twice
	Portion        *model.Portion // the upstream is another VM that gathers these shards; the end is event.PortionResult or event.AttemptFailed
}

// SendResponse answers a caller with the reply of one upstream.
type SendResponse struct {
	Request  model.RequestID
	Response model.Response
}

// SendMergedResponse answers a caller with records of several shards.
type SendMergedResponse struct {
	Request  model.RequestID
	Response model.MergedResponse
}

// SendPortionResult answers another VM with pieces of its portion.
type SendPortionResult struct {
	Request model.RequestID
	Results []model.ShardResult
	Records []byte // highest of the parts of these pieces, highest first
	More    bool   // further pieces follow
}

// CloseIdleConns closes the idle connections to an upstream that is gone.
type CloseIdleConns struct{ Upstream model.UpstreamID }

// Trace tells what became of a routed request, for logs.
type Trace struct {
	CallerRequestID string
	Route           string
	Outcome         string // served, partial, refused, failed or left; gathered or incomplete for a portion
	MaxAttempts     int    // attempts that the route allows for each leg; 1 when it must not run twice
	Reason          model.RefusalReason
	Took            time.Duration
	DocumentVersion uint64        // of the document that was used
	UpstreamListAge time.Duration // age of the list of upstreams at the request's arrival
	Services        []model.ServiceTrace
	IncludedShards  int // shards in the answer
}

func (Forward) effect()            {}
func (SendResponse) effect()       {}
func (SendMergedResponse) effect() {}
func (SendPortionResult) effect()  {}
func (CloseIdleConns) effect()     {}
func (Trace) effect()              {}
