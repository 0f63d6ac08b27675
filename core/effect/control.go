package effect

import (
	"net/netip"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Tell sends a message to another VM. It may be lost.
type Tell struct {
	To      model.VMID
	Addr    netip.AddrPort
	Message frame.Message
}

// Read reads the platform's list of upstreams. The result is event.Listed.
type Read struct{ Timeout time.Duration }

// Append writes entries to the log, replacing any from the first one's index
// on, and syncs them. The result is event.Synced.
type Append struct {
	N       uint64 // number of the write; appends, votes and saves are numbered together
	Entries []entry.Entry
}

// Vote writes and syncs the term and the vote given in it. The result is
// event.Synced.
type Vote struct {
	N    uint64 // number of the write
	Term uint64
	Vote entry.Replica // zero when no vote was given
}

// Save writes and syncs an image and drops the entries it covers. It drops all
// entries when the one at the image's index is missing or of another term. The
// result is event.Synced.
type Save struct {
	N     uint64 // number of the write
	Image entry.Image
}

// Respond answers an operator's command or inquiry.
type Respond struct {
	N      uint64
	Result entry.Result
	Status *Status // for an inquiry
}

// Status is what a VM knows of the fleet.
type Status struct {
	VM       model.VMID
	Zone     model.Zone
	Leader   model.VMID // "" when unknown
	Term     uint64
	Commit   uint64
	Age      time.Duration // since a majority was last heard of
	Current  bool          // the leader confirmed that the configuration is the newest
	Topology *model.Topology
	Heard    []frame.Heard
	History  []Note
}

// Note records a decision and its cause in the event history and the log.
type Note struct {
	At      time.Time
	Subject string // what it is about, such as "upstream u3" or "log"
	Action  string // what was done
	Cause   string // why
	Alert   bool   // an operator should act
}

func (Tell) effect()    {}
func (Read) effect()    {}
func (Append) effect()  {}
func (Vote) effect()    {}
func (Save) effect()    {}
func (Respond) effect() {}
func (Note) effect()    {}
