// Package frame holds the messages that VMs send each other.
//
// # Usage
//
// A reducer puts a message into an effect.Tell; the receiving VM's reducer gets
// it in an event.Peer. Messages may be lost, delayed, repeated and reordered;
// each protocol here tolerates that.
//
//	out = append(out, effect.Tell{To: leader, Message: frame.Propose{N: 4, Command: claim}})
//
// The types carry no encoding. io/peer encodes them by [Kind].
package frame

import (
	"net/netip"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// Kind numbers the message types on the wire.
type Kind uint8

// Message kinds. The numbers are part of the wire format.
const (
	KindVote Kind = iota + 1
	KindVoted
	KindAppend
	KindAppended
	KindSnap
	KindSnapped
	KindPropose
	KindProposed
	KindDigest
	KindDelta
	KindFull
	KindPing
	KindPong
	KindProbe
	KindProbed
	KindAsk
	KindGrant
	KindStrike
	KindRoster
	KindLack
	KindHint
	KindDaemons
)

// Message is a message between two VMs.
type Message interface{ Kind() Kind }

// Vote asks for a vote. With Pre set it only asks whether the vote would be
// given, and changes no term.
type Vote struct {
	Term      uint64
	Replica   entry.Replica
	LastIndex uint64
	LastTerm  uint64
	Pre       bool
}

// Voted answers Vote.
type Voted struct {
	Term    uint64
	Replica entry.Replica
	Pre     bool
	Granted bool
}

// Append replicates entries and is the leader's heartbeat.
type Append struct {
	Term      uint64
	Replica   entry.Replica // the leader
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []entry.Entry
	Commit    uint64
	Round     uint64 // heartbeat round, confirms the leader for linearizable reads
	Handover  bool   // the leader resigns; the receiver should stand for election at once
}

// Appended answers Append.
type Appended struct {
	Term    uint64
	Replica entry.Replica
	OK      bool
	Match   uint64 // last index known to equal the leader's, synced
	Hint    uint64 // where the leader should continue when OK is false
	Round   uint64
}

// Snap replaces a prefix of a replica's log.
type Snap struct {
	Term    uint64
	Replica entry.Replica
	Image   entry.Image
}

// Snapped answers Snap.
type Snapped struct {
	Term    uint64
	Replica entry.Replica
	Index   uint64
}

// Propose forwards a command to the leader. N is chosen by the sender.
type Propose struct {
	N       uint64
	Command entry.Command
}

// Proposed answers Propose.
type Proposed struct {
	N      uint64
	Result entry.Result
}

// Digest is a child's heartbeat to its parent in the distribution tree.
type Digest struct {
	VM       model.VMID
	Zone     model.Zone
	Start    time.Time      // start of the process
	Revision model.Revision // in force
	Sum      uint64         // checksum of the configuration in force
	Below    []Heard        // what the child heard of the VMs below it, changes only
	Roster   uint64         // stamp of the list of upstreams that the child has, 0 for none
	Gathers  netip.AddrPort // where the child takes portions; zero when it takes none
	Daemons  uint64         // stamp of the entry VMs that the child knows, 0 for none
}

// Heard is what a parent knows of a VM below it.
type Heard struct {
	VM       model.VMID
	Revision model.Revision
	Age      time.Duration // since the last heartbeat
	Suspect  bool
}

// Delta brings a child from one revision to another.
type Delta struct {
	From    model.Revision
	To      model.Revision
	Changes []entry.Change // in order; each raises the revision by one
	Sum     uint64         // checksum at To
	Leader  model.VMID     // last known leader, "" when unknown
	Age     time.Duration  // since the sender last heard of a majority
	Path    []model.VMID   // VMs that feed the sender, its parent first; empty for a replica of the log
}

// Full replaces a child's configuration.
type Full struct {
	Config entry.Config
	Sum    uint64
	Leader model.VMID
	Age    time.Duration
	Path   []model.VMID // as in Delta
}

// Ping asks a VM directly whether it is alive.
type Ping struct{ N uint64 }

// Pong answers Ping.
type Pong struct{ N uint64 }

// Probe asks a VM to ping another one.
type Probe struct {
	N      uint64
	Target model.VMID
}

// Probed answers Probe.
type Probed struct {
	N      uint64
	Target model.VMID
	Alive  bool
}

// Ask asks the leader for shares of fleet-wide limits.
type Ask struct {
	N        uint64
	Start    time.Time
	Revision model.Revision // in force, whose floors the VM uses
	Demand   map[string]int // requests in flight and queued beyond the floor, by customer
}

// Grant answers Ask. The shares end Length after the Ask was sent.
type Grant struct {
	N      uint64
	Shares map[string]int // above the floor, by customer
	Length time.Duration

	Moved   model.Revision // the leader's model.Topology.Moved
	Settled time.Duration  // how long the leader has had it in force
}

// Strike shares the fingerprint of a request that ran on upstreams that died.
type Strike struct {
	Fingerprint model.Fingerprint
	Upstreams   []model.UpstreamID
	Quarantine  time.Duration // remaining, 0 when not quarantined
	Pass        bool          // the receiver tells the other VMs of its zone
}

// Roster tells the list of upstreams, or only that it is unchanged.
type Roster struct {
	Stamp     uint64        // of the content
	Serial    uint64        // of the read; a list of a higher one is newer
	Age       time.Duration // since it was read, by the sender's clock
	Fleet     int           // daemons of the fleet as far as the sender knows, 0 when it does not
	Isolated  bool          // the sender hears no VM of another zone
	Whole     bool          // Upstreams holds the content
	Upstreams []model.Upstream
}

// Lack asks for the whole list of upstreams.
type Lack struct{}

// Daemons tells a VM with a disk which entry VMs follow the sender, and an entry
// VM which there are.
type Daemons struct{ Daemons []model.Daemon }

// Kind returns KindDaemons.
func (Daemons) Kind() Kind { return KindDaemons }

// Hint tells the VMs of a zone that an upstream is slow or, when Sure, silent.
type Hint struct {
	Upstream model.UpstreamID
	Sure     bool
	Held     time.Duration // how much longer than usual a slow answer took
}

// Kind returns KindHint.
func (Hint) Kind() Kind { return KindHint }

// Kind returns KindRoster.
func (Roster) Kind() Kind { return KindRoster }

// Kind returns KindLack.
func (Lack) Kind() Kind { return KindLack }

// Kind returns KindVote.
func (Vote) Kind() Kind { return KindVote }

// Kind returns KindVoted.
func (Voted) Kind() Kind { return KindVoted }

// Kind returns KindAppend.
func (Append) Kind() Kind { return KindAppend }

// Kind returns KindAppended.
func (Appended) Kind() Kind { return KindAppended }

// Kind returns KindSnap.
func (Snap) Kind() Kind { return KindSnap }

// Kind returns KindSnapped.
func (Snapped) Kind() Kind { return KindSnapped }

// Kind returns KindPropose.
func (Propose) Kind() Kind { return KindPropose }

// Kind returns KindProposed.
func (Proposed) Kind() Kind { return KindProposed }

// Kind returns KindDigest.
func (Digest) Kind() Kind { return KindDigest }

// Kind returns KindDelta.
func (Delta) Kind() Kind { return KindDelta }

// Kind returns KindFull.
func (Full) Kind() Kind { return KindFull }

// Kind returns KindPing.
func (Ping) Kind() Kind { return KindPing }

// Kind returns KindPong.
func (Pong) Kind() Kind { return KindPong }

// Kind returns KindProbe.
func (Probe) Kind() Kind { return KindProbe }

// Kind returns KindProbed.
func (Probed) Kind() Kind { return KindProbed }

// Kind returns KindAsk.
func (Ask) Kind() Kind { return KindAsk }

// Kind returns KindGrant.
func (Grant) Kind() Kind { return KindGrant }

// Kind returns KindStrike.
func (Strike) Kind() Kind { return KindStrike }
