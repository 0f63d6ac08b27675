package event

import (
	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Peer is a message from another VM.
type Peer struct {
	From    model.VMID
	Message frame.Message
}

// PeerDown tells that the connection to a VM broke or could not be made.
type PeerDown struct{ VM model.VMID }

// Command is an operator's change. The answer is effect.Respond with the same N.
type Command struct {
	N       uint64
	Command entry.Command
}

// Inquiry is an operator's question. The answer is effect.Respond with the
// same N.
type Inquiry struct {
	N            uint64
	Linearizable bool // ask the leader to confirm that the answer is current
}

// Platform is the platform's list of VMs, which lags behind reality.
type Platform struct {
	Live    []model.VMID
	Leaving []model.VMID
}

// Loaded is the content of the data folder after start.
type Loaded struct {
	Disk    model.DiskID
	Fresh   bool // the folder was made by this start
	Term    uint64
	Vote    entry.Replica // vote given in Term; zero when none
	Image   entry.Image   // zero when no snapshot was taken
	Entries []entry.Entry // after the image
}

// Synced tells that every write up to a number is on the disk. An index would
// not do: entries can be replaced, and a vote saved, under an unchanged index
// and term.
type Synced struct{ N uint64 }

// DiskFailed tells that the data folder can no longer be written. The replica
// takes no further part in the log.
type DiskFailed struct{ Problem string }

// Listed is the end of an effect.Read. The upstreams are sorted by id.
type Listed struct {
	Upstreams []model.Upstream
	Ignored   int    // entries that make no sense
	Problem   string // why the list was not read; empty otherwise
}

func (Listed) body()     {}
func (Peer) body()       {}
func (PeerDown) body()   {}
func (Command) body()    {}
func (Inquiry) body()    {}
func (Platform) body()   {}
func (Loaded) body()     {}
func (Synced) body()     {}
func (DiskFailed) body() {}
