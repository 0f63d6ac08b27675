package soak

import (
	"time"

	"comfreypulley/core/model"
)

// Effect is what the reducer wants done.
type Effect interface{ isEffect() }

// Sign is a signal to a process.
type Sign int

// Signals.
const (
	Kill Sign = iota
	Pause
	Resume
	Stop
	Reload
)

// String implements fmt.Stringer.
func (s Sign) String() string {
	return [...]string{"kill", "pause", "resume", "stop", "reload"}[s]
}

// Place is where a link is harmed.
type Place int

// Places.
const (
	Peers   Place = iota // before a VM, for the other VMs
	Callers              // before a VM, for callers
	Hosts                // before an upstream
)

// String implements fmt.Stringer.
func (p Place) String() string { return [...]string{"peers", "callers", "hosts"}[p] }

// Harm is what happens to the connections of a link. The zero value is none.
type Harm struct {
	Cut    bool          // open and new connections hang
	Refuse bool          // new connections are reset
	Delay  time.Duration // added to each byte of both directions
	In     Flow          // toward the target
	Out    Flow
	Zones  []int // only connections from these zones are cut; with none, Cut says
}

// Flow is the harm of one direction.
type Flow struct {
	Hold   bool // bytes wait
	Lose   bool // bytes are lost
	Pieces int  // writes that each delivery is split into
}

// Effects.
type (
	// Spawn starts a process.
	Spawn struct {
		VM    int
		First bool // the fleet starts for the first time
		Wipe  bool // with an empty disk
		Tear  bool // after a write that the disk holds only in part
	}

	// Signal sends a signal to a process.
	Signal struct {
		VM   int
		Sign Sign
	}

	// Set replaces the harm of a link.
	Set struct {
		Place Place
		Index int
		Harm  Harm
	}

	// Reset resets the open connections of a link.
	Reset struct {
		Place Place
		Index int
	}

	// Upstream changes an upstream.
	Upstream struct {
		Host  int
		Crash bool
		Slow  float64 // factor on its service times
	}

	// Swap makes two upstreams answer as each other, or, when it is listed, shows
	// that in the list.
	Swap struct {
		A, B   int
		Listed bool
	}

	// Roster replaces what the list of upstreams shows.
	Roster struct {
		Drained []int
		Mute    bool // it answers no call
	}

	// Order sends a document to the operators' interface until it gets a clear
	// answer.
	Order struct {
		Number   int
		Document *model.Document
		Newest   int // change whose routes callers may use from now on; below 0 tells nothing
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
