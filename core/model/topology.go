package model

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Zone is the name of an availability zone.
type Zone string

// UpstreamID identifies an upstream, also after its address has changed.
type UpstreamID string

// VMID identifies a VM that runs a process of this tier.
type VMID string

// Revision numbers the states of the configuration. It only increases.
type Revision uint64

// AdminState is the administrative state of an upstream or VM.
type AdminState uint8

// Administrative states.
const (
	StateActive   AdminState = iota
	StateDraining            // receives no new requests
)

// String returns the name used in settings and operator answers.
func (s AdminState) String() string {
	if s == StateDraining {
		return "draining"
	}
	return "active"
}

// Upstream is one process that answers requests for an index or service. Several
// upstreams hold the same data as replicas.
type Upstream struct {
	ID         UpstreamID
	Addr       netip.AddrPort
	Zone       Zone
	Index      string        // index or service that it answers for
	Slots      int           // number of requests that it runs concurrently
	MaxConns   int           `msgpack:"Conns"` // connections that it accepts from the whole fleet
	DialCost   time.Duration `msgpack:"Dial"`  // time that opening a connection takes
	WarmUpLeft time.Duration `msgpack:"Cold"`  // time until it reaches its normal speed after a start
	State      AdminState

	Revision Revision // of the last change to this upstream
}

// VM is one machine that runs a process of this tier.
type VM struct {
	ID       VMID
	Zone     Zone
	PeerAddr netip.AddrPort `msgpack:"Peer"` // listener for messages from other VMs
	HasDisk  bool           `msgpack:"Disk"` // it has a data folder and may replicate the log
	State    AdminState

	Revision Revision // of the last change to this VM
}

// Topology is the configuration in force: VMs, upstreams, contracts and the routing
// document. It is immutable once published.
type Topology struct {
	Revision       Revision
	LimitsRevision Revision // of the last change to the set of VMs or to an existing limit, which redistributes quotas
	Contracts      map[string]Contract
	Upstreams      map[UpstreamID]Upstream
	VMs            map[VMID]VM
	Document       *Document // nil before the first document
	ZonesOut       []Zone    // zones whose upstreams are out of use, ascending
}

// DrainZones returns the topology with the upstreams of zones that are out of use as
// draining.
func (t *Topology) DrainZones() *Topology {
	if len(t.ZonesOut) == 0 {
		return t
	}
	drained := *t
	drained.Upstreams = maps.Clone(t.Upstreams)
	for id, u := range drained.Upstreams {
		if slices.Contains(t.ZonesOut, u.Zone) {
			u.State = StateDraining
			drained.Upstreams[id] = u
		}
	}
	return &drained
}

// Quota is the part of the fleet-wide limits that one traffic state may use.
type Quota struct {
	Concurrency  map[string]int     // requests in flight, by customer
	Leased       map[string]int     // the part of Concurrency that ends at LeaseEnd
	LeaseEnd     time.Time          // zero without a lease
	Conns        map[UpstreamID]int // open connections, by upstream
	ConnsVersion uint64             // changes with Conns as long as the topology stays the same; 0 when not tracked
}

// SnapshotVersion numbers the snapshots of an index. A newer snapshot has a higher
// number.
type SnapshotVersion uint64

// HeldSnapshot describes the part of one snapshot that an upstream holds.
type HeldSnapshot struct {
	Index      string
	Version    SnapshotVersion
	ShardCount int   // number of shards of the whole snapshot
	HeldShards []int // numbers of the shards that the upstream holds
}

// Load is the load that an upstream reports.
type Load struct {
	InFlight int // requests running
	Queued   int // requests waiting
	Slots    int // requests that can run concurrently

	// Slowdown is how long work takes at this moment, relative to what is usual for the
	// upstream; 0 when it is not reported. It may change within some hundred milliseconds.
	Slowdown float64
}

// Path states how an attempt reaches its upstream. All paths are direct. Owner is
// reserved for fleets too large for every VM to connect to every upstream, where
// it would be the VM that holds the connection.
type Path struct {
	Owner VMID // empty for a direct path
}

// DiskID identifies a data folder. It is chosen at random when the folder is first
// used, so that a VM that lost its disk is not mistaken for the replica that voted
// before the loss.
type DiskID uint64

// OpID identifies an operator's command. A resend has the same id.
type OpID string
