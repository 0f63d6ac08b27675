package effect

import (
	"net/netip"
	"time"

	"comfreypulley/core/model"
)

// Forward starts an attempt that sends a caller's request to an upstream
// unchanged, or a portion or all of it to another VM. Exactly one event.ResponseReceived
// or event.AttemptFailed ends the attempt, also after Cancel.
type Forward struct {
	Attempt        model.AttemptID
	Request        model.RequestID
	Upstream       model.UpstreamID
	Addr           netip.AddrPort
	Timeout        time.Duration   // time left until the caller's deadline
	BodyOnly       bool            // only the receipt and the body of the response are needed
	IdleTimeout    time.Duration   // of the connection after this attempt; 0 for the front end's default
	AvoidStaleConn bool            // do not reuse a connection that was idle for long: it may fail, and the request must not be repeated
	AwaitReset     bool            // send on a new connection only once the upstream has had time to reset it, as it does beyond its limit
	HideKey        bool            // the caller's key is not passed on; Team names its holder instead
	Team           string          // whose request it is; empty without one
	Portion        *model.Portion  // set when Upstream is a VM that queries these shards; event.PortionResult replaces ResponseReceived
	Handover       *model.Handover // set when Upstream is a VM that serves the whole request; event.HandoverResult replaces ResponseReceived
}

// OpenConn opens a connection to an upstream without sending anything, to see
// whether the upstream can be reached. The connection is idle afterwards.
// event.ConnChecked reports the result.
type OpenConn struct {
	Upstream    model.UpstreamID
	Addr        netip.AddrPort
	Timeout     time.Duration
	IdleTimeout time.Duration // after which the connection is closed if no attempt uses it
}

// AcceptHandover tells the VM that has handed a request over that this VM serves it by
// a newer document than that VM knew of. The answer follows.
type AcceptHandover struct {
	Request         model.RequestID
	DocumentVersion uint64
}

// SendResponse answers a caller with the response of one upstream.
type SendResponse struct {
	Request  model.RequestID
	Response model.Response
	Leaving  []model.UpstreamID // upstreams in the answer that are about to stop, for a VM that has handed the request over
}

// SendMergedResponse answers a caller with the merged records of several shards.
type SendMergedResponse struct {
	Request  model.RequestID
	Response model.MergedResponse
	Leaving  []model.UpstreamID // as in SendResponse
}

// SendPortionResult answers another VM with results for shards of its portion.
type SendPortionResult struct {
	Request model.RequestID
	Results []model.ShardResult
	Records []byte // merged top records of the shards in Results, highest first
	More    bool   // further frames follow
}

// LimitCallers puts limits on callers' requests and connections in force.
type LimitCallers struct{ Limits model.CallerLimits }

// CloseIdleConns closes the idle connections to an upstream or entry VM that is
// no longer listed, or whose address or service has changed.
type CloseIdleConns struct{ Upstream model.UpstreamID }

// Trace describes the processing of an event.ProxyRequest, for logs.
type Trace struct {
	CallerRequestID string
	Route           string
	Team            string // whose request it is; empty without one
	Outcome         string // served, partial, refused, failed or left (by the caller); for a portion gathered or incomplete
	MaxAttempts     int    // per shard or service; 1 when the request must not run twice
	Reason          model.RefusalReason
	Took            time.Duration
	DocumentVersion uint64        // of the routing document used
	UpstreamListAge time.Duration // time since the list of upstreams was read, when the request arrived
	Services        []model.ServiceTrace
	IncludedShards  int  // number of shards in the response
	Handover        bool // another VM handed the request over
}

func (Forward) effect()            {}
func (OpenConn) effect()           {}
func (AcceptHandover) effect()     {}
func (SendResponse) effect()       {}
func (SendMergedResponse) effect() {}
func (SendPortionResult) effect()  {}
func (LimitCallers) effect()       {}
func (CloseIdleConns) effect()     {}
func (Trace) effect()              {}
