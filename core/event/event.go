// Package event holds every input of the reducer.
//
// # Usage
//
// A front end builds an [Event] from an input and the time at which it received
// the input, and passes it to node.State.Reduce. The reducer reads no clock; its
// only time is that of the event.
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

// Body is implemented by the event types of this package.
type Body interface{ body() }

// Role selects which part of the reducer a state runs.
type Role uint8

// Roles of a state. A process has one control state and one or more traffic
// states, which are all of RoleQuery or all of RoleProxy. Each state is run by a
// loop on a goroutine of its own.
const (
	RoleQuery   Role = iota // traffic state that queries the shards of an index under a customer's contract
	RoleControl             // control state: replicated configuration, VM liveness and limits
	RoleProxy               // traffic state that forwards requests along the routes of the routing document
)

// Start is the first event of every state.
type Start struct {
	Role                Role
	VM                  model.VM
	Seed                uint64 // seed of the state's random source
	ProcessStart        time.Time
	Loop                int                  // index of the traffic loop that runs this state
	Loops               int                  // number of traffic loops in the process; they divide the VM's quota
	Baseline            bool                 // simple policy for comparisons: random replica, fixed timeout, no hedging
	Peers               []model.VM           // VMs listed in the settings, used until a configuration is known
	SelfRegistration    bool                 // disk VMs register themselves, and the upstreams come from the platform's list
	RetryBudgetRatio    float64              // fleet-wide retries and hedges for a service, as a fraction of its requests
	CPUCores            float64              // CPU available to the VM, in cores; 0 when unknown
	RetryBudgetExtra    int                  // fleet-wide retries and hedges for a service allowed on top of the ratio
	RetryBudgetWindow   time.Duration        // time window over which retries and hedges are counted
	ChangeBound         time.Duration        // within which a change of the configuration must be in force on every VM; 0 for the default
	PortionAddr         netip.AddrPort       // listener for portions of other VMs' requests; zero when this VM accepts none
	MinShardsToDelegate int                  // requests over at least this many shards are divided among VMs; 0 means never
	Tolerance           model.QuotaTolerance // by how much customers may exceed their limits for a short time
	ToleratedDiskLosses int                  // disks that may be lost at once in a fleet with SelfRegistration
	InitialConfig       *model.Topology      // configuration from the settings: the log's first one, or the only one in a fleet without disk VMs
}

// SettingsChanged carries the settings of a running process that may change. The
// fields are those of [Start].
type SettingsChanged struct {
	Peers               []model.VM
	ToleratedDiskLosses int
	CPUCores            float64
	RetryBudgetRatio    float64
	RetryBudgetExtra    int
	RetryBudgetWindow   time.Duration
	ChangeBound         time.Duration
}

// Apply changes the settings of a state.
func (c SettingsChanged) Apply(s *Start) {
	s.Peers, s.ToleratedDiskLosses, s.CPUCores = c.Peers, c.ToleratedDiskLosses, c.CPUCores
	s.RetryBudgetRatio, s.RetryBudgetExtra, s.RetryBudgetWindow = c.RetryBudgetRatio, c.RetryBudgetExtra, c.RetryBudgetWindow
	s.ChangeBound = c.ChangeBound
}

// Drain asks the state to accept no new requests, to finish those in flight and
// then to emit effect.Drained.
type Drain struct{}

// CutOff asks a traffic state to answer or refuse every request in flight at once, and
// to refuse all later ones, because the process is about to exit. It follows Drain.
type CutOff struct{}

// Leave announces to the control state that this process is about to exit, so
// that other VMs stop sending it portions.
type Leave struct{}

// Timer is the expiry of a timer set by effect.SetTimer.
type Timer struct{ ID TimerID }

// TimerID identifies a timer of one state. N distinguishes timers of the same
// kind; unless the kind says otherwise, it is 0.
type TimerID struct {
	Kind TimerKind
	N    uint64
}

// TimerKind is the purpose of a timer.
type TimerKind uint8

// Timer kinds.
const (
	TimerQuery         TimerKind = iota // next step of a QueryRequest; N is its id
	TimerProbe                          // upstream probes
	TimerSweep                          // periodic cleanup in a traffic state; a query state uses one with another N for its queue
	TimerElection                       // election timeout of the replicated log
	TimerHeartbeat                      // leader heartbeats of the replicated log
	TimerTree                           // configuration digests in the distribution tree
	TimerLiveness                       // liveness checks of VMs
	TimerLease                          // leases on fleet-wide limits
	TimerPropose                        // retries of commands forwarded to the leader
	TimerRegistration                   // registration of disk VMs
	TimerUpstreamList                   // reads of the platform's upstream list
	TimerProxyRequest                   // next step of a ProxyRequest; N is its id
	TimerToken                          // a token of a customer's limit was not answered; N is the number of the request for it
	TimerTokenExchange                  // exchange of tokens among disk VMs
)

func (Start) body()           {}
func (Drain) body()           {}
func (SettingsChanged) body() {}
func (CutOff) body()          {}
func (Leave) body()           {}
func (Timer) body()           {}
