package soak

import (
	"time"

	"comfreypulley/core/model"
)

// Effect is implemented by the effect types of this package.
type Effect interface{ isEffect() }

// SignalKind is the kind of a signal to a process.
type SignalKind int

// Signal kinds.
const (
	Kill   SignalKind = iota // exit at once
	Pause                    // suspend
	Resume                   // continue after Pause
	Stop                     // shut down gracefully
	Reload                   // read the settings again
)

// String implements fmt.Stringer.
func (k SignalKind) String() string {
	return [...]string{"kill", "pause", "resume", "stop", "reload"}[k]
}

// LinkKind is the kind of a network link. Each link has a fault-injecting proxy.
type LinkKind int

// Link kinds.
const (
	PeerLink     LinkKind = iota // from the other VMs to a VM
	CallerLink                   // from callers to a VM
	UpstreamLink                 // from VMs to an upstream
)

// String implements fmt.Stringer.
func (k LinkKind) String() string { return [...]string{"peers", "callers", "hosts"}[k] }

// LinkFaults holds the faults of a link. The zero value has none.
type LinkFaults struct {
	Cut    bool          // partition: open and new connections hang
	Refuse bool          // new connections are reset
	Delay  time.Duration // added to each byte of both directions
	Up     StreamFaults  // toward the target
	Down   StreamFaults  // from the target
	Zones  []int         // partitions connections from these zones, beside Cut
}

// StreamFaults holds the faults of one direction of a link.
type StreamFaults struct {
	Stall  bool // bytes wait until the fault ends
	Drop   bool // bytes are lost
	Pieces int  // number of writes into which each received chunk is split; 0 means 1
}

// Effect types.
type (
	// StartVM starts the process of a VM.
	StartVM struct {
		VM         int
		FirstStart bool // a new fleet starts
		WipeDisk   bool // empty the disk before the start
		TornWrite  bool // append an incomplete record to the log on disk before the start
	}

	// Signal sends a signal to the process of a VM.
	Signal struct {
		VM   int
		Kind SignalKind
	}

	// SetLinkFaults replaces the faults of a link.
	SetLinkFaults struct {
		Link   LinkKind
		Index  int // of the VM or upstream
		Faults LinkFaults
	}

	// ResetLink resets the open connections of a link.
	ResetLink struct {
		Link  LinkKind
		Index int // of the VM or upstream
	}

	// ChangeUpstream crashes an upstream or sets its speed.
	ChangeUpstream struct {
		Upstream   int
		Crash      bool
		SlowFactor float64 // factor on its service times; 1 is normal
	}

	// PauseUpstream makes an upstream turn all requests away and ask for a pause of a
	// length; 0 ends that.
	PauseUpstream struct {
		Upstream int
		Length   time.Duration
	}

	// SwapUpstreams makes two upstreams exchange their addresses, each under a new
	// id. With Listed set it instead shows an earlier exchange in the list of
	// upstreams.
	SwapUpstreams struct {
		A, B   int
		Listed bool
	}

	// SetUpstreamList sets what the platform's list of upstreams shows.
	SetUpstreamList struct {
		Drained []int // upstreams listed as draining
		Silent  bool  // the list refuses all calls
	}

	// SubmitDocument submits a document to the operators' interface. Without a
	// definite answer it is sent again.
	SubmitDocument struct {
		Number       int
		Document     *model.Document
		Keys         map[model.KeyHash]string // of its teams
		NewestChange int                      // newest acknowledged change, whose routes callers use from now on; -1 for none
	}

	// OrderZone takes the upstreams of a zone out of use, or puts them back. It is sent
	// until it is acknowledged by a ZoneResult.
	OrderZone struct {
		Zone int
		Out  bool
	}

	// Note is a line of the fault log.
	Note struct{ Text string }
)

func (StartVM) isEffect()         {}
func (Signal) isEffect()          {}
func (SetLinkFaults) isEffect()   {}
func (ResetLink) isEffect()       {}
func (ChangeUpstream) isEffect()  {}
func (PauseUpstream) isEffect()   {}
func (SwapUpstreams) isEffect()   {}
func (SetUpstreamList) isEffect() {}
func (SubmitDocument) isEffect()  {}
func (OrderZone) isEffect()       {}
func (Note) isEffect()            {}
