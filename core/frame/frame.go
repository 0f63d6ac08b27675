// Package frame holds the messages that VMs send each other.
//
// # Usage
//
// A reducer sends a message with an effect.SendMessage; the reducer of the
// receiving VM receives it in an event.PeerMessage. Messages may be lost, delayed,
// repeated and reordered; every protocol here tolerates that.
//
//	out = append(out, effect.SendMessage{To: leader, Message: frame.ProposeRequest{Seq: 4, Command: claim}})
//
// Where a request has a Seq, its sender chooses it, and the response repeats it.
// The msgpack tags keep the names that fields have on the wire.
//
// The package encodes nothing: io/peer encodes the messages by their [Kind].
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
	KindTokenRequest
	KindTokenResponse
	KindTokenExchange
)

// Message is a message between two VMs.
type Message interface{ Kind() Kind }

// VoteRequest asks for a vote in an election of the replicated log's leader. With
// PreVote set it only asks whether the vote would be given, and no term changes.
type VoteRequest struct {
	Term      uint64
	Replica   entry.Replica // the candidate
	LastIndex uint64        // of the candidate's log
	LastTerm  uint64        // of the entry at LastIndex
	PreVote   bool          `msgpack:"Pre"`
}

// VoteResponse answers VoteRequest.
type VoteResponse struct {
	Term    uint64
	Replica entry.Replica // the voter
	PreVote bool          `msgpack:"Pre"`
	Granted bool
	Founder bool `msgpack:",omitempty"` // as in AppendResponse
}

// AppendRequest replicates log entries. It is also the leader's heartbeat.
type AppendRequest struct {
	Term        uint64
	Replica     entry.Replica // the leader
	PrevIndex   uint64        // of the entry before Entries
	PrevTerm    uint64        // of that entry
	Entries     []entry.Entry
	CommitIndex uint64 `msgpack:"Commit"`
	Round       uint64 // heartbeat number; a majority that repeats it confirms the leader for linearizable reads
	Handover    bool   // the leader resigns, and the receiver should start an election at once

	Sent        time.Time     // stamp of the leader's clock; zero from a VM of an earlier version
	Echo        time.Time     // Sent of the receiver's last answer that the leader has
	MajorityAge time.Duration // time since a majority last accepted the leader
}

// AppendResponse answers AppendRequest.
type AppendResponse struct {
	Term       uint64
	Replica    entry.Replica // the follower
	OK         bool          // the follower has the leader's entry at PrevIndex
	MatchIndex uint64        `msgpack:"Match"` // up to which the follower's synced log is known to equal the leader's
	NextIndex  uint64        `msgpack:"Hint"`  // index from which the leader should send when OK is false
	Round      uint64        // as in AppendRequest
	Sent       time.Time     // stamp of the follower's clock
	Echo       time.Time     // Sent of the last AppendRequest; zero from a VM of an earlier version
	Founder    bool          `msgpack:",omitempty"` // an initial voter with its first disk, which the members do not name yet
}

// InstallImage sends an image to a replica whose next entries the leader no longer
// has. The image replaces a prefix of the replica's log.
type InstallImage struct {
	Term    uint64
	Replica entry.Replica // the leader
	Image   entry.Image
}

// InstallImageResponse answers InstallImage.
type InstallImageResponse struct {
	Term    uint64
	Replica entry.Replica // the follower
	Index   uint64        // of the installed image
}

// ProposeRequest forwards a command to the leader of the replicated log.
type ProposeRequest struct {
	Seq     uint64 `msgpack:"N"`
	Command entry.Command
}

// ProposeResponse answers ProposeRequest.
type ProposeResponse struct {
	Seq    uint64 `msgpack:"N"`
	Result entry.Result
}

// Digest is a child's heartbeat to its parent in the tree that distributes the
// configuration from the replicas of the log to all VMs. From its checksums the
// parent determines what the child lacks. VM, Zone and ProcessStart are empty
// once the parent has answered.
type Digest struct {
	VM                   model.VMID
	Zone                 model.Zone
	ProcessStart         time.Time      `msgpack:"Start"`
	Revision             model.Revision // of the configuration in force
	ConfigChecksum       uint64         `msgpack:"Sum"`     // of the configuration in force
	Descendants          []VMStatus     `msgpack:"Below"`   // changes in the VMs below the child in the tree
	UpstreamListChecksum uint64         `msgpack:"Roster"`  // of the child's list of upstreams; 0 without one
	PortionAddr          netip.AddrPort `msgpack:"Gathers"` // listener for portions of other VMs' requests; zero when the child accepts none
	EntryVMsChecksum     uint64         `msgpack:"Daemons"` // of the child's list of entry VMs; 0 without one
	Sent                 time.Time      // stamp of the child's clock; zero from a VM of an earlier version

	Limits []model.LimitReport // of upstreams, as the child knows them; only to its parent
}

// VMStatus is what a VM knows about one below it in the tree.
type VMStatus struct {
	VM           model.VMID
	Revision     model.Revision
	HeartbeatAge time.Duration `msgpack:"Age"`     // time since the VM's last heartbeat
	Suspected    bool          `msgpack:"Suspect"` // the liveness checks found no sign of life
}

// ConfigDelta updates a child's configuration from one revision to another. With
// equal revisions it only answers the child's digest.
type ConfigDelta struct {
	From        model.Revision
	To          model.Revision
	Changes     []entry.Change // in order; each one increments the revision
	Checksum    uint64         `msgpack:"Sum"` // of the configuration at To
	Leader      model.VMID     // last known leader of the log; empty when unknown
	MajorityAge time.Duration  `msgpack:"Age"`  // time since the sender is last known to have held all committed changes
	Ancestors   []model.VMID   `msgpack:"Path"` // of the sender in the tree, parent first; empty for a replica of the log
	Echo        time.Time      // Sent of the receiver's last digest; zero from a VM of an earlier version
}

// FullConfig replaces a child's whole configuration. Its fields are those of
// ConfigDelta.
type FullConfig struct {
	Config      entry.Config
	Checksum    uint64 `msgpack:"Sum"`
	Leader      model.VMID
	MajorityAge time.Duration `msgpack:"Age"`
	Ancestors   []model.VMID  `msgpack:"Path"`
	Echo        time.Time
}

// Ping asks a VM whether it is alive.
type Ping struct {
	Seq uint64 `msgpack:"N"`
}

// Pong answers Ping.
type Pong struct {
	Seq uint64 `msgpack:"N"`
}

// IndirectPing asks a VM to ping another VM that the sender cannot reach.
type IndirectPing struct {
	Seq    uint64 `msgpack:"N"`
	Target model.VMID
}

// IndirectPong answers IndirectPing.
type IndirectPong struct {
	Seq    uint64 `msgpack:"N"`
	Target model.VMID
	Alive  bool
}

// LeaseRequest requests leases of parts of the customers' fleet-wide
// concurrency limits from the leader, beyond the floor: the part of each limit
// that the VM always has.
type LeaseRequest struct {
	Seq          uint64         `msgpack:"N"`
	ProcessStart time.Time      `msgpack:"Start"`
	Revision     model.Revision // of the configuration from which the VM computes its floors
	Demand       map[string]int // requests in flight and queued beyond the floor, by customer
}

// LeaseResponse answers LeaseRequest. The lease ends Duration after the request
// was sent.
type LeaseResponse struct {
	Seq              uint64         `msgpack:"N"`
	ExtraConcurrency map[string]int `msgpack:"Shares"` // requests in flight allowed beyond the floor, by customer
	Duration         time.Duration  `msgpack:"Length"`

	LimitsRevision model.Revision `msgpack:"Moved"`   // of the leader's model.Topology
	LimitsAge      time.Duration  `msgpack:"Settled"` // how long LimitsRevision has been in force at the leader
}

// CrashReport shares a fingerprint whose requests were followed by upstream
// crashes.
type CrashReport struct {
	Fingerprint model.Fingerprint
	Upstreams   []model.UpstreamID      // that crashed
	Numbers     []int                   `msgpack:",omitempty"` // of their last crashes, see model.Crash; earlier builds skip it
	Cleared     []int                   `msgpack:",omitempty"` // likewise
	Quarantine  time.Duration           // time left during which such requests are refused; 0 when they are not
	Relay       bool                    `msgpack:"Pass"`       // the receiver forwards the report to the other VMs of its zone
	Answered    []model.AnsweredCrashes `msgpack:",omitempty"` // in a report of its own: the other fields but Relay are empty, which an earlier build skips
}

// UpstreamList sends the platform's list of upstreams, or only its checksum while
// it is unchanged.
type UpstreamList struct {
	Checksum     uint64        `msgpack:"Stamp"`  // of the upstreams, also when they are left out
	ReadSeq      uint64        `msgpack:"Serial"` // sequence number of the read; the list with the higher one is newer
	Age          time.Duration // time since the list was read from the platform
	EntryVMCount int           `msgpack:"Fleet"` // entry VMs in the fleet; 0 when unknown
	Isolated     bool          // the sender receives messages from no VM of another zone
	Complete     bool          `msgpack:"Whole"` // Upstreams is filled in
	Upstreams    []model.Upstream
	Totals       []model.LimitReport `msgpack:",omitempty"` // to another disk VM: the demand of the sender's followers for upstreams that state a limit
	Shares       []model.LimitShare  `msgpack:",omitempty"` // to a follower: its shares of the limits that upstreams state
	Issuers      []model.VMID        `msgpack:",omitempty"` // to a follower: the disk VMs that issue tokens of customers' limits
}

// UpstreamListRequest requests an UpstreamList with the upstreams.
type UpstreamListRequest struct{}

// EntryVMs lists entry VMs: to a disk VM those that are children of the
// sender, and to an entry VM all of the fleet.
type EntryVMs struct {
	VMs    []model.EntryVM `msgpack:"Daemons"`
	Issues bool            `msgpack:",omitempty"` // the sender understands TokenRequest and TokenExchange, unlike earlier builds
}

// TokenRequest asks a disk VM for one token of a customer's limit of requests. One that
// does not have the customer's tokens asks the VM that has, with Relayed set.
type TokenRequest struct {
	Seq      uint64 `msgpack:"N"`
	Customer string
	Relayed  bool `msgpack:",omitempty"`
	Late     bool `msgpack:",omitempty"` // gives way to other requests while tokens are scarce
}

// TokenResponse answers TokenRequest.
type TokenResponse struct {
	Seq       uint64        `msgpack:"N"`
	Granted   bool          `msgpack:",omitempty"`
	Known     bool          `msgpack:",omitempty"` // the customer has a limit in the sender's configuration
	Wait      time.Duration `msgpack:",omitempty"` // until a token is expected, when none was granted
	Unreached []model.VMID  `msgpack:",omitempty"` // disk VMs whose tokens do not come to the sender
}

// TokenExchange passes tokens between the disk VMs that issue them.
type TokenExchange struct {
	Hears  []model.VMID       // the disk VMs whose messages arrive at the sender, and the sender
	Wanted []string           `msgpack:",omitempty"` // customers for which the sender needs tokens
	Tokens map[string]float64 `msgpack:",omitempty"` // by customer, for the receiver to issue
}

// Kind returns KindTokenRequest.
func (TokenRequest) Kind() Kind { return KindTokenRequest }

// Kind returns KindTokenResponse.
func (TokenResponse) Kind() Kind { return KindTokenResponse }

// Kind returns KindTokenExchange.
func (TokenExchange) Kind() Kind { return KindTokenExchange }

// Kind returns KindEntryVMs.
func (EntryVMs) Kind() Kind { return KindEntryVMs }

// UpstreamWarning carries an event.UpstreamWarning to the other VMs of a zone.
type UpstreamWarning struct {
	Upstream     model.UpstreamID
	Unreachable  bool          `msgpack:"Sure"`
	ExtraLatency time.Duration `msgpack:"Held"`
}

// Kind returns KindUpstreamWarning.
func (UpstreamWarning) Kind() Kind { return KindUpstreamWarning }

// Kind returns KindUpstreamList.
func (UpstreamList) Kind() Kind { return KindUpstreamList }

// Kind returns KindUpstreamListRequest.
func (UpstreamListRequest) Kind() Kind { return KindUpstreamListRequest }

// Kind returns KindVoteRequest.
func (VoteRequest) Kind() Kind { return KindVoteRequest }

// Kind returns KindVoteResponse.
func (VoteResponse) Kind() Kind { return KindVoteResponse }

// Kind returns KindAppendRequest.
func (AppendRequest) Kind() Kind { return KindAppendRequest }

// Kind returns KindAppendResponse.
func (AppendResponse) Kind() Kind { return KindAppendResponse }

// Kind returns KindInstallImage.
func (InstallImage) Kind() Kind { return KindInstallImage }

// Kind returns KindInstallImageResponse.
func (InstallImageResponse) Kind() Kind { return KindInstallImageResponse }

// Kind returns KindProposeRequest.
func (ProposeRequest) Kind() Kind { return KindProposeRequest }

// Kind returns KindProposeResponse.
func (ProposeResponse) Kind() Kind { return KindProposeResponse }

// Kind returns KindDigest.
func (Digest) Kind() Kind { return KindDigest }

// Kind returns KindConfigDelta.
func (ConfigDelta) Kind() Kind { return KindConfigDelta }

// Kind returns KindFullConfig.
func (FullConfig) Kind() Kind { return KindFullConfig }

// Kind returns KindPing.
func (Ping) Kind() Kind { return KindPing }

// Kind returns KindPong.
func (Pong) Kind() Kind { return KindPong }

// Kind returns KindIndirectPing.
func (IndirectPing) Kind() Kind { return KindIndirectPing }

// Kind returns KindIndirectPong.
func (IndirectPong) Kind() Kind { return KindIndirectPong }

// Kind returns KindLeaseRequest.
func (LeaseRequest) Kind() Kind { return KindLeaseRequest }

// Kind returns KindLeaseResponse.
func (LeaseResponse) Kind() Kind { return KindLeaseResponse }

// Kind returns KindCrashReport.
func (CrashReport) Kind() Kind { return KindCrashReport }
