package effect

import (
	"net/netip"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// SendMessage sends a message to another VM. It may be lost.
type SendMessage struct {
	To      model.VMID
	Addr    netip.AddrPort
	Message frame.Message
}

// ReadUpstreamList reads the platform's list of upstreams. The result is event.UpstreamListRead.
type ReadUpstreamList struct{ Timeout time.Duration }

// AppendEntries writes entries to the log, replacing any from the first one's index
// on, and syncs them. The result is event.DiskSynced.
type AppendEntries struct {
	Seq     uint64 // number of the write; appends, votes and saves are numbered together
	Entries []entry.Entry
}

// SaveVote writes and syncs the term and the vote given in it. The result is
// event.DiskSynced.
type SaveVote struct {
	Seq  uint64 // number of the write
	Term uint64
	Vote entry.Replica // zero when no vote was given
}

// SaveImage writes and syncs an image and drops the entries it covers. It drops all
// entries when the one at the image's index is missing or of another term. The
// result is event.DiskSynced.
type SaveImage struct {
	Seq   uint64 // number of the write
	Image entry.Image
}

// AnswerOperator answers an operator's command or inquiry.
type AnswerOperator struct {
	Seq    uint64
	Result entry.Result
	Status *FleetStatus // for an inquiry
}

// FleetStatus is what a VM knows of the fleet.
type FleetStatus struct {
	VM          model.VMID
	Zone        model.Zone
	Leader      model.VMID // "" when unknown
	Term        uint64
	Commit      uint64
	MajorityAge time.Duration // since a majority was last heard of
	Current     bool          // the leader confirmed that the configuration is the newest
	Topology    *model.Topology
	VMs         []frame.VMStatus
	History     []Note
}

// Note records a decision and its cause in the event history and the log.
type Note struct {
	At      time.Time
	Subject string // what it is about, such as "upstream u3" or "log"
	Action  string // what was done
	Cause   string // why
	Alert   bool   // an operator should act
}

func (SendMessage) effect()      {}
func (ReadUpstreamList) effect() {}
func (AppendEntries) effect()    {}
func (SaveVote) effect()         {}
func (SaveImage) effect()        {}
func (AnswerOperator) effect()   {}
func (Note) effect()             {}
