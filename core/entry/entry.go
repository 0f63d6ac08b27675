// Package entry holds the entries and commands of the replicated log, the images
// that replace a prefix of it, and the results of applied commands.
//
// # Usage
//
// A leader wraps a command in an [Entry] and replicates it; every replica
// applies committed entries in order with the same [Result].
//
//	e := entry.Entry{Index: 7, Term: 2, At: now, Command: entry.Claim{Customer: "tabadul", Key: key}}
//
// The package encodes nothing: io/codec encodes the types for io/disk and io/peer.
// The msgpack tags keep the names that fields have in files and on the wire.
package entry

import (
	"time"

	"comfreypulley/core/model"
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	At      time.Time // the leader's clock when it appended the entry
	Command Command
}

// Command is a change of the replicated state.
type Command interface{ command() }

// Noop changes nothing. A new leader appends it so that the entries of earlier
// terms can be committed.
type Noop struct{}

// Change is an operator's change of the configuration. Exactly one of the
// pointers is set. ExpectedRevision is the revision of the changed object that
// the operator saw; 0 means that the object must not exist yet. To retire a
// contract, only its Customer and Retired are needed, and to drain an upstream or
// VM only its id and State; the other fields then keep their values.
type Change struct {
	Op               model.OpID
	ExpectedRevision model.Revision  `msgpack:"Expect"`
	Contract         *model.Contract // created or changed; retired when Retired is set
	Upstream         *model.Upstream // added, changed or drained
	VM               *model.VM       // added, changed or drained
	Remove           *Removal
	InitialConfig    *Config         `msgpack:"Genesis"` // first configuration of a fleet; applied only at revision 0
	Document         *model.Document // ignored unless its version is higher than that of the current one
	Zone             *ZoneOrder      // changes nothing when it is in force already
}

// IsUnordered reports whether a change does not say what it follows, so that a late copy
// looks like a new change: an order about a zone, or an upstream or VM that must not exist
// yet. A document has its version, and contracts are never removed.
func (c *Change) IsUnordered() bool {
	return c.Zone != nil || c.ExpectedRevision == 0 && (c.Upstream != nil || c.VM != nil)
}

// ZoneOrder takes the upstreams of an availability zone out of use, or puts them back.
type ZoneOrder struct {
	Zone model.Zone
	Out  bool
}

// Removal names the upstream or the VM to remove; the other field is empty.
type Removal struct {
	Upstream model.UpstreamID
	VM       model.VMID
}

// Members is the set of replicas of the log. As a command it replaces the current
// set, from which it differs by at most one voter.
type Members struct {
	Voters   []Replica
	Learners []Replica // replicate the log but do not vote
}

// Replica is one copy of the log.
type Replica struct {
	VM   model.VMID
	Disk model.DiskID
}

// Claim reserves an idempotency key before its request is sent to an upstream.
type Claim struct {
	Customer    string
	Key         model.Key
	Fingerprint model.Fingerprint // distinguishes a resend from a different request with the same key
	Holder      ClaimHolder
	Retention   time.Duration // of the customer's contract
}

// ClaimHolder identifies the request that holds a claim.
type ClaimHolder struct {
	VM           model.VMID
	ProcessStart time.Time `msgpack:"Start"` // distinguishes requests from those before a restart
	Loop         int       // traffic loop within the process
	Request      model.RequestID
}

// Equal reports whether two values identify the same request. It compares
// ProcessStart as an instant, because decoding may change the time zone.
func (h ClaimHolder) Equal(other ClaimHolder) bool {
	return h.VM == other.VM && h.Loop == other.Loop && h.Request == other.Request && h.ProcessStart.Equal(other.ProcessStart)
}

// IsZero reports whether the value identifies no request.
func (h ClaimHolder) IsZero() bool {
	return h.Equal(ClaimHolder{})
}

// Settle records the outcome of a claimed request.
type Settle struct {
	Customer string
	Key      model.Key
	Holder   ClaimHolder
	Outcome  Outcome
}

// Release gives up a claim whose request certainly did not run.
type Release struct {
	Customer string
	Key      model.Key
	Holder   ClaimHolder
}

// Outcome is the recorded result of a non-idempotent request.
type Outcome struct {
	Snapshot   model.SnapshotVersion
	Shard      int
	ShardCount int `msgpack:"Shards"`
	Items      []model.Item
	Class      string
	Price      int64
}

func (Noop) command()    {}
func (Change) command()  {}
func (Members) command() {}
func (Claim) command()   {}
func (Settle) command()  {}
func (Release) command() {}

// Status is the kind of result that a command had.
type Status uint8

// Results of commands.
const (
	StatusUnknown     Status = iota // the command may or may not have been applied
	StatusOK                        // applied now, or earlier under the same operation id or holder
	StatusConflict                  // the object has another revision, or the key was used with another request body
	StatusPending                   // the key is claimed by another request whose outcome is not recorded yet
	StatusSettled                   // the key has a recorded outcome
	StatusExpired                   // the key is older than the retention
	StatusInvalid                   // the change is malformed
	StatusNoMajority                // the command was not appended because no majority is reachable
	StatusNotLeader                 // the command was not appended; another replica leads
	StatusUnavailable               // the command was not appended because the leader is unknown or overloaded
)

// String returns the name used in operator answers and logs.
func (s Status) String() string {
	names := [...]string{
		"unknown", "ok", "conflict", "pending", "settled", "expired", "invalid", "majority", "notleader", "unavailable",
	}
	if int(s) < len(names) {
		return names[s]
	}
	return names[0]
}

// Applied reports whether only a committed command can have this status.
func (s Status) Applied() bool {
	return s >= StatusOK && s <= StatusInvalid
}

// Result is the result of a command.
type Result struct {
	Status   Status
	Detail   string
	Revision model.Revision // of the object after the change, or its current one after a conflict
	Outcome  *Outcome       // for StatusSettled
	Leader   model.VMID     // for StatusNotLeader; empty when unknown
}

// Image is a snapshot of the replicated state after the entry at Index. It
// replaces the log up to there.
type Image struct {
	Index   uint64
	Term    uint64
	At      time.Time // highest time of an entry; the ages of idempotency keys refer to it
	Config  Config
	Ledger  []ClaimRecord
	Members Members `msgpack:"Log"`
}

// Config is the replicated configuration as lists in a fixed order.
type Config struct {
	Revision       model.Revision
	LimitsRevision model.Revision   `msgpack:"Moved"` // as in model.Topology
	Contracts      []model.Contract // ascending by customer
	Upstreams      []model.Upstream // ascending by id
	VMs            []model.VM       // ascending by id
	Ops            []OpRecord       // oldest first
	Document       *model.Document  // nil before the first document
	ZonesOut       []model.Zone     // zones whose upstreams are out of use, ascending
}

// OpRecord stores the result of an operator's command, which is returned again
// when the command is resent.
type OpRecord struct {
	ID         model.OpID
	At         time.Time
	ChangeHash uint64 `msgpack:"Change"` // distinguishes a resend from a different change with the same id
	Result     Result
}

// ClaimRecord is one idempotency key in the ledger. A record with the zero
// Holder is the customer's watermark: all keys created up to the time in Key
// are expired.
type ClaimRecord struct {
	Customer    string
	Key         model.Key
	Fingerprint model.Fingerprint
	Holder      ClaimHolder
	ExpiresAt   time.Time `msgpack:"Until"` // when the retention ends
	Outcome     *Outcome  // nil while the outcome is unknown
	Released    bool      // released by Holder, which may not claim the key again
}
