package event

import (
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// View publishes the configuration in force and the shares of this VM to the
// traffic states. Its contents are immutable.
type View struct {
	Topology *model.Topology
	Quota    model.Quota
}

// DemandReport tells the control state what a traffic state has in hand.
type DemandReport struct {
	Loop   int
	Demand map[string]int // requests in flight and queued, by customer
}

// ProposeRequest asks the control state to commit a claim, settlement or release. The
// answer is a Proposed with the same loop and request.
type ProposeRequest struct {
	Loop     int
	Request  model.RequestID
	Command  entry.Command
	Deadline time.Time // when the traffic state gives up
}

// ProposeResponse answers Propose.
type ProposeResponse struct {
	Request model.RequestID
	Command entry.Command // as proposed
	Result  entry.Result
}

// CrashReport shares strikes against a fingerprint between traffic states and VMs.
type CrashReport struct {
	Fingerprint model.Fingerprint
	Upstreams   []model.UpstreamID
	Quarantine  time.Duration // remaining, 0 when not quarantined
}

// UpstreamList publishes the platform's list of upstreams to the traffic states. Its
// contents are immutable.
type UpstreamList struct {
	Upstreams    []model.Upstream // ascending by id
	Checksum     uint64           // the same number means the same upstreams
	ReadAt       time.Time        // when the list was read
	EntryVMCount int              // daemons that share the upstreams; 0 when not known
}

// EntryVMs publishes the entry VMs of the fleet to the traffic states. Its
// contents are immutable.
type EntryVMs struct{ VMs []model.EntryVM } // ascending by id

// ZoneIsolation tells the traffic states whether the zone is cut off from the others.
type ZoneIsolation struct{ Isolated bool }

// UpstreamWarning tells what a traffic state found of an upstream, to those of the other VMs
// of the zone.
type UpstreamWarning struct {
	Upstream     model.UpstreamID
	Unreachable  bool          // silent or gone; otherwise an answer was slow, or a request failed
	ExtraLatency time.Duration // how much longer than usual a slow answer took; 0 after a failure
}

func (EntryVMs) body()        {}
func (UpstreamWarning) body() {}
func (ZoneIsolation) body()   {}
func (UpstreamList) body()    {}
func (View) body()            {}
func (DemandReport) body()    {}
func (ProposeRequest) body()  {}
func (ProposeResponse) body() {}
func (CrashReport) body()     {}
