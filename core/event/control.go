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

// PeerDown tells that the connection to a VM broke or could not be made.
type PeerDown struct{ VM model.VMID }

// OperatorCommand is an operator's change. The answer is effect.AnswerOperator with the same N.
type OperatorCommand struct {
	Seq     uint64
	Command entry.Command
}

// StatusRequest is an operator's question. The answer is effect.AnswerOperator with the
// same N.
type StatusRequest struct {
	Seq          uint64
	Linearizable bool // ask the leader to confirm that the answer is current
}

// PlatformVMs is the platform's list of VMs, which lags behind reality.
type PlatformVMs struct {
	Live    []model.VMID
	Leaving []model.VMID
}

// DiskLoaded is the content of the data folder after start.
type DiskLoaded struct {
	Disk    model.DiskID
	Created bool // the folder was made by this start
	Term    uint64
	Vote    entry.Replica // vote given in Term; zero when none
	Image   entry.Image   // zero when no snapshot was taken
	Entries []entry.Entry // after the image
}

// DiskSynced tells that every write up to a number is on the disk. An index would
// not do: entries can be replaced, and a vote saved, under an unchanged index
// and term.
type DiskSynced struct{ Seq uint64 }

// DiskFailed tells that the data folder can no longer be written. The replica
// takes no further part in the log.
type DiskFailed struct{ Problem string }

// UpstreamListRead is the end of an effect.ReadUpstreamList. The upstreams are sorted by id.
type UpstreamListRead struct {
	Upstreams []model.Upstream
	Ignored   int    // entries that make no sense
	Problem   string // why the list was not read; empty otherwise
}

func (UpstreamListRead) body() {}
func (PeerMessage) body()      {}
func (PeerDown) body()         {}
func (OperatorCommand) body()  {}
func (StatusRequest) body()    {}
func (PlatformVMs) body()      {}
func (DiskLoaded) body()       {}
func (DiskSynced) body()       {}
func (DiskFailed) body()       {}
