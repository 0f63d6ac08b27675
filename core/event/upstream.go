package event

import (
	"time"

	"comfreypulley/core/model"
)

// AnswerReceived is an upstream's complete answer to an effect.Send.
type AnswerReceived struct {
	Attempt    model.AttemptID
	Version    model.SnapshotVersion // as stated by the upstream
	ShardCount int                   // as stated by the upstream
	Shard      int                   // as stated by the upstream
	Items      []model.Item
	Load       *model.Load // nil when the upstream did not report its load
	NewConn    bool        // a new connection was opened for the attempt
}

// AttemptFailed is the end of an attempt without a usable answer.
type AttemptFailed struct {
	Attempt    model.AttemptID
	Reason     model.FailureReason
	Ran        model.Ran     // whether the upstream may have run the request
	RetryAfter time.Duration // from the Retry-After header; 0 when absent
	Load       *model.Load   // nil when the upstream did not report its load
	NewConn    bool          // a new connection was opened for the attempt
	Rejected   bool          // the upstream reset it at once, as it does beyond its limit of connections
}

// ProbeResult is the result of an effect.Probe. When Reachable is false, only
// Upstream is set.
type ProbeResult struct {
	Upstream  model.UpstreamID
	Reachable bool
	Draining  bool
	Cold      bool // still starting
	Load      model.Load
	Conns     int // connections that the upstream accepts, as it states
	Snapshots []model.HeldSnapshot
}

func (AnswerReceived) body() {}
func (AttemptFailed) body()  {}
func (ProbeResult) body()    {}
