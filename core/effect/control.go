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

// ReadUpstreamList reads the platform's list of upstreams. The result is an
// event.UpstreamListRead.
type ReadUpstreamList struct{ Timeout time.Duration }

// AppendEntries writes entries to the log and syncs them. They replace all
// existing entries from the index of the first one on. The result is an
// event.DiskSynced.
type AppendEntries struct {
	Seq     uint64 // sequence number shared by AppendEntries, SaveVote and SaveImage
	Entries []entry.Entry
}

// SaveVote writes and syncs the term and the vote given in it. The result is an
// event.DiskSynced.
type SaveVote struct {
	Seq  uint64 // as in AppendEntries
	Term uint64
	Vote entry.Replica // zero when no vote was given
}

// SaveImage writes and syncs an image and drops the log entries that it covers.
// It drops all entries when the entry at the image's index is missing or has
// another term. The result is an event.DiskSynced.
type SaveImage struct {
	Seq   uint64 // as in AppendEntries
	Image entry.Image
}

// SaveFounders writes and syncs the VMs that may found the log. Writes that follow it are
// not synced before it is. It has no result.
type SaveFounders struct{ VMs []model.VM }

// AnswerOperator answers the event.OperatorCommand, event.StatusRequest or
// event.PlanRequest with the same Seq.
type AnswerOperator struct {
	Seq     uint64
	Result  entry.Result
	Confirm model.OpID   // the operation under which to send a change again that was not carried out; otherwise empty
	Status  *FleetStatus // for a StatusRequest
	Plan    *model.Plan  // for a PlanRequest
}

// FleetStatus is what a VM knows about the fleet.
type FleetStatus struct {
	VM          model.VMID
	Zone        model.Zone
	Leader      model.VMID // "" when unknown
	Term        uint64
	CommitIndex uint64        // index of the last committed log entry
	MajorityAge time.Duration // since a majority of the log's replicas was last known to be reachable
	Current     bool          // the leader confirmed that the configuration is the newest
	Topology    *model.Topology
	VMs         []frame.VMStatus
	History     []Note
}

// Note records a decision and its cause in the operators' event history and in
// the process log.
type Note struct {
	At      time.Time
	Subject string // what it is about, such as "upstream u3" or "log"
	Action  string // what was done
	Cause   string // why
	Alert   bool   // an operator should take action
}

func (SendMessage) effect()      {}
func (ReadUpstreamList) effect() {}
func (AppendEntries) effect()    {}
func (SaveVote) effect()         {}
func (SaveImage) effect()        {}
func (SaveFounders) effect()     {}
func (AnswerOperator) effect()   {}
func (Note) effect()             {}
