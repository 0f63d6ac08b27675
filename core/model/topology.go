package model

import (
	"net/netip"
	"time"
)

// Zone names an availability zone.
type Zone string

// UpstreamID names an upstream; it stays the same when the address changes.
type UpstreamID string

// VMID names a VM that runs a process of the tier.
type VMID string

// Revision numbers the configuration. Revisions only grow.
type Revision uint64

// AdminState is the administrative state of an upstream or VM.
type AdminState uint8

// The zero value is StateActive.
const (
	StateActive AdminState = iota
	StateDraining
)

// String returns the name used in settings and operator answers.
func (s AdminState) String() string {
	if s == StateDraining {
		return "draining"
	}
	return "active"
}

// Upstream is one replica process that holds shards of an index.
type Upstream struct {
	ID         UpstreamID
	Addr       netip.AddrPort
	Zone       Zone
	Index      string
	Slots      int           // requests it runs at once
	MaxConns   int           `msgpack:"Conns"` // connections it accepts in total
	DialCost   time.Duration `msgpack:"Dial"`  // cost of a new connection
	WarmUpLeft time.Duration `msgpack:"Cold"`  // how much longer it is slow after its start
	State      AdminState

	Revision Revision // of the last change
}

// VM is one machine that runs an entry process.
type VM struct {
	ID       VMID
	Zone     Zone
	PeerAddr netip.AddrPort `msgpack:"Peer"` // listener for the other VMs
	HasDisk  bool           `msgpack:"Disk"` // has a data folder and may replicate the log
	State    AdminState

	Revision Revision // of the last change
}

// Topology is the configuration in force. It is immutable once published.
type Topology struct {
	Revision       Revision
	LimitsRevision Revision // last change of the VMs or of a limit that was in force before
	Contracts      map[string]Contract
	Upstreams      map[UpstreamID]Upstream
	VMs            map[VMID]VM
	Document       *Document // nil before the first one
}

// Quota is the part of the fleet-wide limits that one traffic state may use.
type Quota struct {
	Concurrency  map[string]int     // requests in flight by customer
	Conns        map[UpstreamID]int // connections by upstream
	ConnsVersion uint64             // the same number means the same Conns for a topology; 0 states nothing
}

// SnapshotVersion numbers a snapshot of an index. A newer snapshot has a higher number.
type SnapshotVersion uint64

// HeldSnapshot is what an upstream reports about one version.
type HeldSnapshot struct {
	Index      string
	Version    SnapshotVersion
	ShardCount int   // shards of the whole version
	HeldShards []int // shards this upstream holds
}

// Load is a load report of an upstream.
type Load struct {
	Inflight int
	Queued   int
	Slots    int
}

// Path states how an attempt reaches its upstream. Only direct paths are built
// today; at a size where not every VM may dial every upstream, Owner names the
// VM that holds the connections.
type Path struct {
	Owner VMID // empty for a direct path
}

// DiskID identifies a data folder. It is drawn when the folder is first used,
// so that a VM that lost its disk is not taken for the one that voted before.
type DiskID uint64

// OpID identifies an operator's command across resends.
type OpID string
