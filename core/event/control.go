package event

import (
	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// PeerMessage is a message from another VM.
type PeerMessage struct {
	From    model.VMID
	Message frame.Message
}

// PeerDown reports that the connection to a VM broke or could not be opened.
type PeerDown struct{ VM model.VMID }

// OperatorCommand is an operator's request for a change. It is answered by an
// effect.AnswerOperator with the same Seq.
type OperatorCommand struct {
	Seq     uint64
	Command entry.Command
}

// StatusRequest is an operator's request for the status of the fleet. It is
// answered by an effect.AnswerOperator with the same Seq.
type StatusRequest struct {
	Seq          uint64
	Linearizable bool // have the leader confirm that the status is current
}

// PlanRequest is an operator's question where a request would go now. It is answered by
// an effect.AnswerOperator with the same Seq. Host and Path are those of a request along a
// route, Index is that of a query in the own protocol.
type PlanRequest struct {
	Seq      uint64
	Customer string // whose request it is; empty without one
	Host     string
	Path     string
	Index    string
}

// PlatformVMs is the platform's list of VMs. It may be out of date.
type PlatformVMs struct {
	Live    []model.VMID
	Leaving []model.VMID // about to be shut down
}

// DiskLoaded is the content of the data folder, read once after the start.
type DiskLoaded struct {
	Disk    model.DiskID
	Created bool // the folder did not exist before
	Term    uint64
	Vote    entry.Replica // vote given in Term; zero without one
	Image   entry.Image   // zero when none was saved
	Entries []entry.Entry // after the image

	Founders []model.VM // VMs that may found the log; empty unless the VM is one of them and has its first disk
}

// DiskSynced reports that every write up to Seq is synced to disk. A log index
// would not identify a write: entries can be replaced, and a vote saved, while
// the last index and the term stay the same.
type DiskSynced struct{ Seq uint64 }

// DiskFailed reports that the data folder can no longer be written. The replica
// stops participating in the log.
type DiskFailed struct{ Problem string }

// UpstreamListRead is the result of effect.ReadUpstreamList.
type UpstreamListRead struct {
	Upstreams    []model.Upstream // ascending by id
	Ignored      int              // invalid entries left out of Upstreams
	FirstIgnored string           // beginning of the first of them, quoted; empty without one
	Problem      string           // why reading failed; empty on success
}

func (UpstreamListRead) body() {}
func (PeerMessage) body()      {}
func (PeerDown) body()         {}
func (OperatorCommand) body()  {}
func (StatusRequest) body()    {}
func (PlanRequest) body()      {}
func (PlatformVMs) body()      {}
func (DiskLoaded) body()       {}
func (DiskSynced) body()       {}
func (DiskFailed) body()       {}
