package effect

import (
	"net/netip"
	"time"

	"comfreypulley/core/model"
)

// Send starts an attempt that queries one shard on an upstream. Exactly one
// event.AnswerReceived or event.AttemptFailed ends the attempt, also after Cancel.
type Send struct {
	Attempt       model.AttemptID
	Request       model.RequestID
	AttemptNumber int // of this shard's attempts, from 1
	Upstream      model.UpstreamID
	Addr          netip.AddrPort
	Path          model.Path
	Index         string
	Version       model.SnapshotVersion
	Shard         int
	Body          []byte
	Timeout       time.Duration
	Key           model.Key // zero for an idempotent request
}

// Cancel aborts an attempt.
type Cancel struct{ Attempt model.AttemptID }

// Probe requests an upstream's state, load and snapshots. The result is an
// event.ProbeResult.
type Probe struct {
	Upstream model.UpstreamID
	Addr     netip.AddrPort
	Timeout  time.Duration
}

// LimitConns sets how many connections may be open to an upstream. A limit of 0
// closes all of them.
type LimitConns struct {
	Upstream model.UpstreamID
	Addr     netip.AddrPort
	Conns    int
}

// SendAnswer answers an event.QueryRequest.
type SendAnswer struct{ Answer model.Answer }

// Refuse refuses a caller's request.
type Refuse struct{ Refusal model.Refusal }

// Charge writes one line of the usage log, from which customers are billed.
type Charge struct {
	Request  model.RequestID
	Customer string
	Class    string
	Price    int64 // as in model.Class
	At       time.Time
}

// Count adds N to the counter of a reason within a group.
type Count struct {
	Counter Counter
	Reason  string
	N       int64
}

// Counter names a group of counters, one for each reason.
type Counter string

// Counter groups and what their reasons are.
const (
	CountAttempts Counter = "attempts" // by kind: first, retry, hedge, canary
	CountRefused  Counter = "refused"  // by model.RefusalReason
	CountRetried  Counter = "retried"  // by model.FailureReason
	CountFailed   Counter = "failed"   // by model.FailureReason
	CountServed   Counter = "served"   // by class
	CountCharged  Counter = "charged"  // by customer, in thousandths of the currency unit
	CountControl  Counter = "control"  // by kind of control event
	CountTeams    Counter = "teams"    // by team and outcome: admitted or refused for want of a token
	CountIgnored  Counter = "ignored"  // by kind of input: entries that were left out since they cannot be used
)

// Ready sets what the load balancer's health check reports: whether the VM
// accepts requests.
type Ready struct{ Ready bool }

func (Send) effect()       {}
func (Cancel) effect()     {}
func (Probe) effect()      {}
func (LimitConns) effect() {}
func (SendAnswer) effect() {}
func (Refuse) effect()     {}
func (Charge) effect()     {}
func (Count) effect()      {}
func (Ready) effect()      {}
