// Package entry holds the commands of the replicated log, the images that
// replace a prefix of it, and the results that applying a command gives.
//
// # Usage
//
// A leader wraps a command in an [Entry] and replicates it; every replica
// applies committed entries in order and gets the same [Result].
//
//	e := entry.Entry{Index: 7, Term: 2, At: now, Command: entry.Claim{Customer: "tabadul", Key: key}}
//
// The types carry no encoding. io/disk and io/peer encode them.
package entry

import (
	"time"

	"comfreypulley/core/model"
)

// Entry is one position of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	At      time.Time // the leader's clock when it appended the entry
	Command Command
}

// Command is a change of the replicated state.
type Command interface{ command() }

// Noop commits the entries of earlier terms when a leader starts.
type Noop struct{}

// Change is an operator's change of the configuration. Exactly one of the
// pointers is set. A change of an object carries the revision the operator
// saw; 0 expects that the object does not exist. To retire a contract only its
// Customer and Retired are needed, and to drain an upstream or VM only its id
// and State; the other fields are then kept as they are.
type Change struct {
	Op               model.OpID
	ExpectedRevision model.Revision  `msgpack:"Expect"`
	Contract         *model.Contract // created, changed, or retired when its Retired is set
	Upstream         *model.Upstream // added, changed or drained
	VM               *model.VM       // added, changed or drained
	Remove           *Removal
	InitialConfig    *Config         `msgpack:"Genesis"` // first configuration of a fleet, applied only at revision 0
	Document         *model.Document // replaces the one in force when its version is higher, and changes nothing otherwise
}

// Removal names the upstream or VM to remove.
type Removal struct {
	Upstream model.UpstreamID
	VM       model.VMID
}

// Members changes the replicas of the log by at most one voter.
type Members struct {
	Voters   []Replica
	Learners []Replica
}

// Replica is one copy of the log.
type Replica struct {
	VM   model.VMID
	Disk model.DiskID
}

// Claim reserves an idempotency key before its request is dispatched.
type Claim struct {
	Customer    string
	Key         model.Key
	Fingerprint model.Fingerprint // tells a resend from another request with the same key
	Holder      Holder
	Retention   time.Duration // of the contract
}

// Holder names the request that holds a claim.
type Holder struct {
	VM           model.VMID
	ProcessStart time.Time `msgpack:"Start"` // start of the process, tells its requests from those before a restart
	Loop         int       // traffic loop within the process
	Request      model.RequestID
}

// Equal reports whether two values name the same request. Start is compared as
// a moment, since encodings give the same moment in different locations.
func (h Holder) Equal(other Holder) bool {
	return h.VM == other.VM && h.Loop == other.Loop && h.Request == other.Request && h.ProcessStart.Equal(other.ProcessStart)
}

// IsZero reports whether the value names no request.
func (h Holder) IsZero() bool {
	return h.Equal(Holder{})
}

// Settle records the outcome of a claimed request.
type Settle struct {
	Customer string
	Key      model.Key
	Holder   Holder
	Outcome  Outcome
}

// Release gives a claim back because its request provably did not run.
type Release struct {
	Customer string
	Key      model.Key
	Holder   Holder
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

// Status is the typed result of a command.
type Status uint8

// Results of commands. StatusUnknown is the zero value: the command may or may
// not have been applied.
const (
	StatusUnknown     Status = iota
	StatusOK                 // applied, or applied before under the same operation id or holder
	StatusConflict           // another revision is current, or the key belongs to another request body
	StatusPending            // the key is claimed by another request whose outcome is not recorded
	StatusSettled            // the key has a recorded outcome
	StatusExpired            // the key is older than the retention
	StatusInvalid            // the change is malformed
	StatusNoMajority         // the command was not appended because no majority is reachable
	StatusNotLeader          // the command was not appended; another replica leads
	StatusUnavailable        // the command was not appended because the leader is not known or overloaded
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

// Applied reports whether the status can only come from a committed command.
func (s Status) Applied() bool {
	return s >= StatusOK && s <= StatusInvalid
}

// Result is what applying a command gives.
type Result struct {
	Status   Status
	Detail   string
	Revision model.Revision // of the changed object, or the current one after a conflict
	Outcome  *Outcome       // for StatusSettled
	Leader   model.VMID     // for StatusNotLeader, when known
}

// Image is the replicated state up to an index.
type Image struct {
	Index   uint64
	Term    uint64
	At      time.Time // highest entry time, from which key ages are counted
	Config  Config
	Ledger  []ClaimRecord
	Members Members `msgpack:"Log"`
}

// Config is the replicated configuration in a fixed order.
type Config struct {
	Revision       model.Revision
	LimitsRevision model.Revision   `msgpack:"Moved"` // see model.Topology
	Contracts      []model.Contract // ascending by customer
	Upstreams      []model.Upstream // ascending by id
	VMs            []model.VM       // ascending by id
	Ops            []OpRecord       // oldest first
	Document       *model.Document  // nil before the first one
}

// OpRecord is the remembered result of an operator's command.
type OpRecord struct {
	ID         model.OpID
	At         time.Time
	ChangeHash uint64 `msgpack:"Change"` // hash of the change, tells a resend from another change with the same id
	Result     Result
}

// ClaimRecord is one idempotency key of the ledger. With the zero Holder it is the
// customer's floor: every key up to the time of Key is expired.
type ClaimRecord struct {
	Customer    string
	Key         model.Key
	Fingerprint model.Fingerprint
	Holder      Holder
	ExpiresAt   time.Time `msgpack:"Until"` // end of the retention
	Outcome     *Outcome  // nil while the outcome is not known
	Released    bool      // given back by Holder, who may not claim it again
}
