package soak

import (
	"time"

	"comfreypulley/core/model"
)

// Effect is implemented by the effect types of this package.
type Effect interface{ isEffect() }

// Sign is the kind of a signal to a process.
type Sign int

// Signal kinds.
const (
	Kill   Sign = iota // exit at once
	Pause              // suspend
	Resume             // continue after Pause
	Stop               // shut down gracefully
	Reload             // read the settings again
)

// String implements fmt.Stringer.
func (s Sign) String() string {
	return [...]string{"kill", "pause", "resume", "stop", "reload"}[s]
}

// Place is the kind of a network link, each of which has a fault-injecting proxy.
type Place int

// Link kinds.
const (
	Peers   Place = iota // from the other VMs to a VM
	Callers              // from callers to a VM
	Hosts                // from VMs to an upstream
)

// String implements fmt.Stringer.
func (p Place) String() string { return [...]string{"peers", "callers", "hosts"}[p] }

// Harm holds the faults of a link. The zero value has none.
type Harm struct {
	Cut    bool          // partition: open and new connections hang
	Refuse bool          // new connections are reset
	Delay  time.Duration // added to each byte of both directions
	In     Flow          // toward the target
	Out    Flow          // from the target
	Zones  []int         // partitions connections from these zones, beside Cut
}

// Flow holds the faults of one direction of a link.
type Flow struct {
	Hold   bool // bytes wait until the fault ends
	Lose   bool // bytes are lost
	Pieces int  // number of writes into which each received chunk is split; 0 means 1
}

// Effect types.
type (
	// Spawn starts the process of a VM.
	Spawn struct {
		VM    int
		First bool // a new fleet starts
		Wipe  bool // empty the disk before the start
		Tear  bool // append an incomplete record to the log on disk before the start
	}

	// Signal sends a signal to the process of a VM.
	Signal struct {
		VM   int
		Sign Sign
	}

	// Set replaces the faults of a link.
	Set struct {
		Place Place
		Index int // of the VM or upstream
		Harm  Harm
	}

	// Reset resets the open connections of a link.
	Reset struct {
		Place Place
		Index int // of the VM or upstream
	}

	// Upstream crashes an upstream or sets its speed.
	Upstream struct {
		Host  int
		Crash bool
		Slow  float64 // factor on its service times; 1 is normal
	}

	// Swap makes two upstreams exchange their addresses, each under a new id. With
	// Listed set it instead shows an earlier exchange in the list of upstreams.
	Swap struct {
		A, B   int
		Listed bool
	}

	// Roster sets what the platform's list of upstreams shows.
	Roster struct {
		Drained []int // upstreams listed as draining
		Mute    bool  // the list refuses all calls
	}

	// Order submits a document to the operators' interface. Without a definite
	// answer it is sent again.
	Order struct {
		Number   int
		Document *model.Document
		Newest   int // newest acknowledged change, whose routes callers use from now on; below 0 for none
	}

	// Note is a line of the fault log.
	Note struct{ Text string }
)

func (Spawn) isEffect()    {}
func (Signal) isEffect()   {}
func (Set) isEffect()      {}
func (Reset) isEffect()    {}
func (Upstream) isEffect() {}
func (Swap) isEffect()     {}
func (Roster) isEffect()   {}
func (Order) isEffect()    {}
func (Note) isEffect()     {}
