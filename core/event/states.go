package event

import (
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// View publishes the configuration in force and a traffic state's quota to that
// state. Its contents are immutable.
type View struct {
	Topology *model.Topology
	Quota    model.Quota
}

// DemandReport reports a traffic state's current load to the control state.
type DemandReport struct {
	Loop   int
	Demand map[string]int // requests in flight and queued, by customer
}

// ProposeRequest asks the control state to commit an entry.Claim, entry.Settle or
// entry.Release to the replicated log. The reply is a ProposeResponse to the same
// traffic loop with the same request id.
type ProposeRequest struct {
	Loop     int
	Request  model.RequestID
	Command  entry.Command
	Deadline time.Time // when the traffic state stops waiting
}

// ProposeResponse answers ProposeRequest.
type ProposeResponse struct {
	Request model.RequestID
	Command entry.Command // as proposed
	Result  entry.Result
}

// CrashReport shares a fingerprint whose requests were followed by upstream
// crashes, between the traffic states of a process and with other VMs.
type CrashReport struct {
	Fingerprint model.Fingerprint
	Crashes     []model.Crash           // the last one of each upstream
	Quarantine  time.Duration           // time left during which such requests are refused; 0 when they are not
	Answered    []model.AnsweredCrashes // in a report of its own, which has no crashes
}

// UpstreamList publishes the platform's list of upstreams to the traffic states.
// Its contents are immutable.
type UpstreamList struct {
	Upstreams    []model.Upstream // ascending by id
	Checksum     uint64           // equal checksums mean equal upstreams
	ReadAt       time.Time        // when the list was read from the platform
	EntryVMCount int              // entry VMs that share the upstreams; 0 when unknown
}

// EntryVMs publishes the entry VMs of the fleet to the traffic states. Its
// contents are immutable.
type EntryVMs struct{ VMs []model.EntryVM } // ascending by id

// ZoneIsolation reports to the traffic states whether this VM's zone is cut off
// from the other zones.
type ZoneIsolation struct{ Isolated bool }

// ConfigOverdue reports to the traffic states whether this VM may lack changes of
// the configuration that must be in force.
type ConfigOverdue struct{ Overdue bool }

// UpstreamWarning shares a problem with an upstream, or with an entry VM that
// answers portions, among the traffic states of the zone's VMs.
type UpstreamWarning struct {
	Upstream     model.UpstreamID // for an entry VM, "vm " and its id
	Unreachable  bool             // does not respond or is gone; otherwise one response was slow or one request failed
	ExtraLatency time.Duration    // by which a slow response exceeded the usual latency; 0 after a failure
}

// LimitReport tells the control state what a traffic loop knows about the limits
// that upstreams state, and what it would send to them.
type LimitReport struct {
	Loop    int
	Reports []model.LimitReport // ascending by upstream
}

// LimitShares tells the traffic states this VM's shares of the limits that
// upstreams state.
type LimitShares struct{ Shares []model.LimitShare }

// TokenRequest asks the control state for a token of a customer's limit of requests. The
// reply is a TokenAnswer to the same traffic loop with the same request id.
type TokenRequest struct {
	Loop     int
	Request  model.RequestID
	Customer string
	Late     bool // the caller was refused before, and an answer can no longer be in time
}

// TokenAnswer answers TokenRequest.
type TokenAnswer struct {
	Request   model.RequestID
	Granted   bool
	Unmetered bool          // no VM that issues tokens has answered
	Wait      time.Duration // until a token is expected, when none was granted
}

// UpstreamStatement shares what an upstream says of itself among the traffic states of
// the process.
type UpstreamStatement struct {
	Upstream model.UpstreamID
	Pause    time.Duration // for which it wants no requests; 0 for none
	Leaving  bool          // it is about to stop and wants no new requests
}

func (TokenRequest) body()      {}
func (TokenAnswer) body()       {}
func (UpstreamStatement) body() {}
func (ConfigOverdue) body()     {}
func (EntryVMs) body()          {}
func (LimitReport) body()       {}
func (LimitShares) body()       {}
func (UpstreamWarning) body()   {}
func (ZoneIsolation) body()     {}
func (UpstreamList) body()      {}
func (View) body()              {}
func (DemandReport) body()      {}
func (ProposeRequest) body()    {}
func (ProposeResponse) body()   {}
func (CrashReport) body()       {}
