package frame

import (
	"net/netip"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

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

// Kind returns KindDigest.
func (Digest) Kind() Kind { return KindDigest }

// Kind returns KindConfigDelta.
func (ConfigDelta) Kind() Kind { return KindConfigDelta }

// Kind returns KindFullConfig.
func (FullConfig) Kind() Kind { return KindFullConfig }
