// Package event holds every input of the reducer.
//
// # Usage
//
// A front end builds an [Event] from what it received and the time at which it
// received it, and gives it to node.State.Reduce. The reducer knows no other
// time than the one in the event.
//
//	out = state.Reduce(event.Event{At: now, Body: event.CallerDisconnected{Request: 7}}, out[:0])
package event

import (
	"net/netip"
	"time"

	"comfreypulley/core/model"
)

// Event is one input with the time at which it happened.
type Event struct {
	At   time.Time
	Body Body
}

// Body is one of the event types of this package.
type Body interface{ body() }

// Role selects which part of the reducer a state runs.
type Role uint8

// Roles of a state. A process has one control state and one or more traffic
// states.
const (
	RoleQuery Role = iota
	RoleControl
	RoleProxy // traffic along the routes of a document
)

// Start is the first event of every state.
type Start struct {
	Role                Role
	VM                  model.VM
	Seed                uint64          // of the random source in the state
	ProcessStart        time.Time       // start of the process
	Loop                int             // index of the traffic loop
	Loops               int             // number of traffic loops, over which shares are divided
	Baseline            bool            // plain baseline policy: random replica, fixed timeout, no hedge
	Peers               []model.VM      // VMs known from the settings before any configuration
	SelfRegistration    bool            // VMs with disks register themselves, and the platform lists the upstreams
	RetryBudgetRatio    float64         // extra attempts as a share of the requests for a service, over the fleet
	CPUCores            float64         // processor of the VM, in cores; 0 when not known
	RetryBudgetExtra    int             // extra attempts for a service beyond that, over the fleet
	RetryBudgetWindow   time.Duration   // span of time in which extra attempts are counted
	PortionAddr         netip.AddrPort  // where this VM takes portions of other VMs' requests; zero when it takes none
	MinShardsToDelegate int             // shards of a request from which other VMs gather portions of it; 0 means never
	ToleratedDiskLosses int             // disks that may be lost at once in a fleet that enrols
	InitialConfig       *model.Topology // configuration from the settings: the first one of the log, or the one in force without disk VMs
}

// Drain asks the state to accept no new work, to end what is in flight and to
// report effect.Drained.
type Drain struct{}

// Leave tells the control state that this process is about to end, so that other
// VMs give it no more portions.
type Leave struct{}

// Timer tells that a timer set by effect.SetTimer is due.
type Timer struct{ ID TimerID }

// TimerID identifies a timer of one state.
type TimerID struct {
	Kind TimerKind
	N    uint64
}

// TimerKind is the family a timer belongs to.
type TimerKind uint8

// Timer kinds.
const (
	TimerQuery        TimerKind = iota // N is the request id
	TimerProbe                         // N is 0
	TimerSweep                         // traffic housekeeping, N is 0
	TimerElection                      // log, N is 0
	TimerHeartbeat                     // log, N is 0
	TimerTree                          // distribution tree, N is 0
	TimerLiveness                      // liveness, N is 0
	TimerLease                         // shares, N is 0
	TimerPropose                       // forwarded commands, N is 0
	TimerRegistration                  // registration of disk VMs, N is 0
	TimerUpstreamList                  // list of upstreams, N is 0
	TimerProxyRequest                  // routed request, N is the request id
)

func (Start) body() {}
func (Drain) body() {}
func (Leave) body() {}
func (Timer) body() {}
