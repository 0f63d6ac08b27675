package model

import (
	"cmp"
	"time"
)

// Plan says where a request would go now, and why. No request is sent for it.
type Plan struct {
	VM       VMID   // the VM that would serve the request
	Version  uint64 // of the routing document; 0 without one
	Route    string // empty without one
	Customer string // whose request it is; empty without one
	Metered  bool   // it would first ask for a token of the customer's limit
	Handover bool   // another VM would serve it, since this one cannot
	Refused  RefusalReason
	Services []ServicePlan // empty when the request would be refused or handed over
}

// ServicePlan says which upstream would serve a request, or one shard of it.
type ServicePlan struct {
	Service    string
	Fraction   float64 // of the requests that go to the service; below 1 where a route has several targets
	VMs        []VMID  // one of them would choose the upstream; none means the VM of the plan
	Candidates []Candidate
}

// Candidate is an upstream as a VM sees it. Candidates are in the order of preference.
type Candidate struct {
	Upstream UpstreamID
	Zone     Zone
	Cost     time.Duration // estimated time until an answer, and what counts against the upstream
	Chance   float64       // that its limits leave room for the request; 0 to 1
	Obstacle Obstacle
}

// Compare orders candidates without an obstacle first, and then those with a lower cost.
func (c Candidate) Compare(other Candidate) int {
	if (c.Obstacle == "") != (other.Obstacle == "") {
		if c.Obstacle == "" {
			return -1
		}
		return 1
	}
	return cmp.Compare(c.Cost, other.Cost)
}

// Obstacle is the reason why an upstream does not get a request, or only when there is no
// other. It is empty without one.
type Obstacle string

// Obstacles.
const (
	ObstacleState     Obstacle = "state"       // the list does not have it as active
	ObstacleLeaving   Obstacle = "leaving"     // it is about to stop
	ObstacleZone      Obstacle = "zone"        // its zone is out of use
	ObstacleIdentity  Obstacle = "identity"    // another upstream answers at its address
	ObstacleUnreached Obstacle = "unreachable" // it does not answer probes, or is still starting
	ObstaclePause     Obstacle = "pause"       // it has asked for a pause
	ObstacleBusy      Obstacle = "busy"        // the VM has as many attempts in flight to it as it may
	ObstacleConns     Obstacle = "conns"       // it has reset a new connection shortly before
	ObstacleBackoff   Obstacle = "backoff"     // connections to it failed shortly before
	ObstaclePace      Obstacle = "pace"        // its pace after a start leaves no room
	ObstacleLimit     Obstacle = "limit"       // the limit that it states leaves no room
)
