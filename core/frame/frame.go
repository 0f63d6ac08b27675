// Package frame holds the messages that VMs send each other.
//
// # Usage
//
// A reducer puts a message into an effect.SendMessage; the receiving VM's reducer gets
// it in an event.PeerMessage. Messages may be lost, delayed, repeated and reordered;
// each protocol here tolerates that.
//
//	out = append(out, effect.SendMessage{To: leader, Message: frame.ProposeRequest{N: 4, Command: claim}})
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
	KindVoteRequest Kind = iota + 1
	KindVoteResponse
	KindAppendRequest
	KindAppendResponse
	KindInstallImage
	KindInstallImageResponse
	KindProposeRequest
	KindProposeResponse
	KindDigest
	KindConfigDelta
	KindFullConfig
	KindPing
	KindPong
	KindIndirectPing
	KindIndirectPong
	KindLeaseRequest
	KindLeaseResponse
	KindCrashReport
	KindUpstreamList
	KindUpstreamListRequest
	KindUpstreamWarning
	KindEntryVMs
)

// Message is a message between two VMs.
type Message interface{ Kind() Kind }

// VoteRequest asks for a vote. With Pre set it only asks whether the vote would be
// given, and changes no term.
type VoteRequest struct {
	Term      uint64
	Replica   entry.Replica
	LastIndex uint64
	LastTerm  uint64
	PreVote   bool `msgpack:"Pre"`
}

// VoteResponse answers Vote.
type VoteResponse struct {
	Term    uint64
	Replica entry.Replica
	PreVote bool `msgpack:"Pre"`
	Granted bool
}

// AppendRequest replicates entries and is the leader's heartbeat.
type AppendRequest struct {
	Term        uint64
	Replica     entry.Replica // the leader
	PrevIndex   uint64
	PrevTerm    uint64
	Entries     []entry.Entry
	CommitIndex uint64 `msgpack:"Commit"`
	Round       uint64 // heartbeat round, confirms the leader for linearizable reads
	Handover    bool   // the leader resigns; the receiver should stand for election at once
}

// AppendResponse answers Append.
type AppendResponse struct {
	Term       uint64
	Replica    entry.Replica
	OK         bool
	MatchIndex uint64 `msgpack:"Match"` // last index known to equal the leader's, synced
	NextIndex  uint64 `msgpack:"Hint"`  // where the leader should continue when OK is false
	Round      uint64
}

// InstallImage replaces a prefix of a replica's log.
type InstallImage struct {
	Term    uint64
	Replica entry.Replica
	Image   entry.Image
}

// InstallImageResponse answers Snap.
type InstallImageResponse struct {
	Term    uint64
	Replica entry.Replica
	Index   uint64
}

// ProposeRequest forwards a command to the leader. N is chosen by the sender.
type ProposeRequest struct {
	Seq     uint64 `msgpack:"N"`
	Command entry.Command
}

// ProposeResponse answers Propose.
type ProposeResponse struct {
	Seq    uint64 `msgpack:"N"`
	Result entry.Result
}

// Digest is a child's heartbeat to its parent in the distribution tree.
type Digest struct {
	VM                   model.VMID
	Zone                 model.Zone
	ProcessStart         time.Time      `msgpack:"Start"` // start of the process
	Revision             model.Revision // in force
	ConfigChecksum       uint64         `msgpack:"Sum"`     // checksum of the configuration in force
	Descendants          []VMStatus     `msgpack:"Below"`   // what the child heard of the VMs below it, changes only
	UpstreamListChecksum uint64         `msgpack:"Roster"`  // stamp of the list of upstreams that the child has, 0 for none
	PortionAddr          netip.AddrPort `msgpack:"Gathers"` // where the child takes portions; zero when it takes none
	EntryVMsChecksum     uint64         `msgpack:"Daemons"` // stamp of the entry VMs that the child knows, 0 for none
}

// VMStatus is what a parent knows of a VM below it.
type VMStatus struct {
	VM           model.VMID
	Revision     model.Revision
	HeartbeatAge time.Duration `msgpack:"Age"` // since the last heartbeat
	Suspected    bool          `msgpack:"Suspect"`
}

// ConfigDelta brings a child from one revision to another.
type ConfigDelta struct {
	From        model.Revision
	To          model.Revision
	Changes     []entry.Change // in order; each raises the revision by one
	Checksum    uint64         `msgpack:"Sum"` // checksum at To
	Leader      model.VMID     // last known leader, "" when unknown
	MajorityAge time.Duration  `msgpack:"Age"`  // since the sender last heard of a majority
	Ancestors   []model.VMID   `msgpack:"Path"` // VMs that feed the sender, its parent first; empty for a replica of the log
}

// FullConfig replaces a child's configuration.
type FullConfig struct {
	Config      entry.Config
	Checksum    uint64 `msgpack:"Sum"`
	Leader      model.VMID
	MajorityAge time.Duration `msgpack:"Age"`
	Ancestors   []model.VMID  `msgpack:"Path"` // as in Delta
}

// Ping asks a VM directly whether it is alive.
type Ping struct {
	Seq uint64 `msgpack:"N"`
}

// Pong answers Ping.
type Pong struct {
	Seq uint64 `msgpack:"N"`
}

// IndirectPing asks a VM to ping another one.
type IndirectPing struct {
	Seq    uint64 `msgpack:"N"`
	Target model.VMID
}

// IndirectPong answers Probe.
type IndirectPong struct {
	Seq    uint64 `msgpack:"N"`
	Target model.VMID
	Alive  bool
}

// LeaseRequest asks the leader for shares of fleet-wide limits.
type LeaseRequest struct {
	Seq          uint64         `msgpack:"N"`
	ProcessStart time.Time      `msgpack:"Start"`
	Revision     model.Revision // in force, whose floors the VM uses
	Demand       map[string]int // requests in flight and queued beyond the floor, by customer
}

// LeaseResponse answers Ask. The shares end Length after the Ask was sent.
type LeaseResponse struct {
	Seq              uint64         `msgpack:"N"`
	ExtraConcurrency map[string]int `msgpack:"Shares"` // above the floor, by customer
	Duration         time.Duration  `msgpack:"Length"`

	LimitsRevision model.Revision `msgpack:"Moved"`   // the leader's model.Topology.LimitsRevision
	LimitsAge      time.Duration  `msgpack:"Settled"` // how long the leader has had it in force
}

// CrashReport shares the fingerprint of a request that ran on upstreams that died.
type CrashReport struct {
	Fingerprint model.Fingerprint
	Upstreams   []model.UpstreamID
	Quarantine  time.Duration // remaining, 0 when not quarantined
	Relay       bool          `msgpack:"Pass"` // the receiver tells the other VMs of its zone
}

// UpstreamList tells the list of upstreams, or only that it is unchanged.
type UpstreamList struct {
	Checksum     uint64        `msgpack:"Stamp"`  // of the content
	ReadSeq      uint64        `msgpack:"Serial"` // of the read; a list of a higher one is newer
	Age          time.Duration // since it was read, by the sender's clock
	EntryVMCount int           `msgpack:"Fleet"` // daemons of the fleet as far as the sender knows, 0 when it does not
	Isolated     bool          // the sender hears no VM of another zone
	Complete     bool          `msgpack:"Whole"` // Upstreams holds the content
	Upstreams    []model.Upstream
}

// UpstreamListRequest asks for the whole list of upstreams.
type UpstreamListRequest struct{}

// EntryVMs tells a VM with a disk which entry VMs follow the sender, and an entry
// VM which there are.
type EntryVMs struct {
	VMs []model.EntryVM `msgpack:"Daemons"`
}

// Kind returns KindDaemons.
func (EntryVMs) Kind() Kind { return KindEntryVMs }

// UpstreamWarning tells the VMs of a zone that an upstream is slow or, when Sure, silent.
type UpstreamWarning struct {
	Upstream     model.UpstreamID
	Unreachable  bool          `msgpack:"Sure"`
	ExtraLatency time.Duration `msgpack:"Held"` // how much longer than usual a slow answer took
}

// Kind returns KindHint.
func (UpstreamWarning) Kind() Kind { return KindUpstreamWarning }

// Kind returns KindRoster.
func (UpstreamList) Kind() Kind { return KindUpstreamList }

// Kind returns KindLack.
func (UpstreamListRequest) Kind() Kind { return KindUpstreamListRequest }

// Kind returns KindVote.
func (VoteRequest) Kind() Kind { return KindVoteRequest }

// Kind returns KindVoted.
func (VoteResponse) Kind() Kind { return KindVoteResponse }

// Kind returns KindAppend.
func (AppendRequest) Kind() Kind { return KindAppendRequest }

// Kind returns KindAppended.
func (AppendResponse) Kind() Kind { return KindAppendResponse }

// Kind returns KindSnap.
func (InstallImage) Kind() Kind { return KindInstallImage }

// Kind returns KindSnapped.
func (InstallImageResponse) Kind() Kind { return KindInstallImageResponse }

// Kind returns KindPropose.
func (ProposeRequest) Kind() Kind { return KindProposeRequest }

// Kind returns KindProposed.
func (ProposeResponse) Kind() Kind { return KindProposeResponse }

// Kind returns KindDigest.
func (Digest) Kind() Kind { return KindDigest }

// Kind returns KindDelta.
func (ConfigDelta) Kind() Kind { return KindConfigDelta }

// Kind returns KindFull.
func (FullConfig) Kind() Kind { return KindFullConfig }

// Kind returns KindPing.
func (Ping) Kind() Kind { return KindPing }

// Kind returns KindPong.
func (Pong) Kind() Kind { return KindPong }

// Kind returns KindProbe.
func (IndirectPing) Kind() Kind { return KindIndirectPing }

// Kind returns KindProbed.
func (IndirectPong) Kind() Kind { return KindIndirectPong }

// Kind returns KindAsk.
func (LeaseRequest) Kind() Kind { return KindLeaseRequest }

// Kind returns KindGrant.
func (LeaseResponse) Kind() Kind { return KindLeaseResponse }

// Kind returns KindStrike.
func (CrashReport) Kind() Kind { return KindCrashReport }
