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
	Share    model.Share
}

// Summary tells the control state what a traffic state has in hand.
type Summary struct {
	Loop   int
	Demand map[string]int // requests in flight and queued, by customer
}

// Propose asks the control state to commit a claim, settlement or release. The
// answer is a Proposed with the same loop and request.
type Propose struct {
	Loop    int
	Request model.RequestID
	Command entry.Command
	Until   time.Time // when the traffic state gives up
}

// Proposed answers Propose.
type Proposed struct {
	Request model.RequestID
	Command entry.Command // as proposed
	Result  entry.Result
}

// Struck shares strikes against a fingerprint between traffic states and VMs.
type Struck struct {
	Fingerprint model.Fingerprint
	Upstreams   []model.UpstreamID
	Quarantine  time.Duration // remaining, 0 when not quarantined
}

// Roster publishes the platform's list of upstreams to the traffic states. Its
// contents are immutable.
type Roster struct {
	Upstreams []model.Upstream // ascending by id
	Stamp     uint64           // the same number means the same upstreams
	Read      time.Time        // when the list was read
	Fleet     int              // daemons that share the upstreams; 0 when not known
}

// Daemons publishes the entry VMs of the fleet to the traffic states. Its
// contents are immutable.
type Daemons struct{ Daemons []model.Daemon } // ascending by id

// Isolated tells the traffic states whether the zone is cut off from the others.
type Isolated struct{ Isolated bool }

// Hint tells what a traffic state found of an upstream, to those of the other VMs
// of the zone.
type Hint struct {
	Upstream model.UpstreamID
	Sure     bool          // silent or gone; otherwise an answer was slow, or a request failed
	Held     time.Duration // how much longer than usual a slow answer took; 0 after a failure
}

func (Daemons) body()  {}
func (Hint) body()     {}
func (Isolated) body() {}
func (Roster) body()   {}
func (View) body()     {}
func (Summary) body()  {}
func (Propose) body()  {}
func (Proposed) body() {}
func (Struck) body()   {}
