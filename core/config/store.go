package config

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// maxRetainedChanges is how many of the latest changes ChangesSince can return.
const maxRetainedChanges = 1000

// Store is the configuration at one revision. The zero value is empty at
// revision 0.
type Store struct {
	revision        model.Revision
	limitsRevision  model.Revision // as in model.Topology
	contracts       table[string, model.Contract]
	upstreams       table[model.UpstreamID, model.Upstream]
	vms             table[model.VMID, model.VM]
	upstreamsByAddr map[netip.AddrPort]model.UpstreamID
	vmsByAddr       map[netip.AddrPort]model.VMID
	diskVMs         int // number of disk VMs
	document        *model.Document
	zonesOut        []model.Zone // ascending; replaced and not changed, since topologies share it
	objectSum       uint64       // sum of the hashes of all objects, modulo 2^64
	ops             operations
	changes         []entry.Change  // for ChangesSince; the last one led to revision
	topology        *model.Topology // cached result of Topology; nil after a change
}

// table is a copy-on-write map: a write copies it first if a topology shares it.
type table[K comparable, V any] struct {
	rows   map[K]V
	shared bool // rows is part of a topology and must not change
}

// unshare prepares rows for a write.
func (t *table[K, V]) unshare() {
	if t.rows == nil {
		t.rows = make(map[K]V)
	}
	if t.shared {
		t.rows = maps.Clone(t.rows)
		t.shared = false
	}
}

// share returns the map for readers on other goroutines.
func (t *table[K, V]) share() map[K]V {
	if t.rows == nil {
		t.rows = make(map[K]V)
	}
	t.shared = true
	return t.rows
}

// Revision returns the revision in force; 0 when there is no configuration.
func (s *Store) Revision() model.Revision {
	return s.revision
}

// HasOperatorChange reports whether an operator has changed the configuration. VMs that
// registered themselves do not count.
func (s *Store) HasOperatorChange() bool {
	return s.document != nil || len(s.contracts.rows) > 0 || len(s.upstreams.rows) > 0 || len(s.ops.byID) > 0
}

// Checksum returns a checksum over the revision and every object. It leaves out the
// results of operations, which VMs without a log do not have.
func (s *Store) Checksum() uint64 {
	return s.objectSum + hashNumber(uint64(s.revision))
}

// Topology returns the configuration in force. It is immutable; a later change
// copies only the map that it changes.
func (s *Store) Topology() *model.Topology {
	if s.topology == nil {
		s.topology = &model.Topology{
			Revision: s.revision, LimitsRevision: s.limitsRevision, Contracts: s.contracts.share(), Upstreams: s.upstreams.share(), VMs: s.vms.share(),
			Document: s.document, ZonesOut: s.zonesOut,
		}
	}
	return s.topology
}

// VM returns one VM. Unlike Topology, it does not make the next change copy a
// map.
func (s *Store) VM(id model.VMID) (model.VM, bool) {
	vm, ok := s.vms.rows[id]
	return vm, ok
}

// ChangesSince returns the changes after a revision. It reports false when some of
// them are no longer retained.
func (s *Store) ChangesSince(from model.Revision) (changes []entry.Change, ok bool) {
	if from > s.revision || s.revision-from > model.Revision(len(s.changes)) {
		return nil, false
	}
	return slices.Clone(s.changes[len(s.changes)-int(s.revision-from):]), true
}

// recordChange retains a change for ChangesSince. It truncates the list only at
// twice the needed length, so that the amortized cost per change stays constant.
func (s *Store) recordChange(c entry.Change) {
	if c.Document != nil {
		// Documents are large, and each replaces the previous one. A VM that
		// lacks more than this change receives the full configuration.
		s.changes = []entry.Change{c}
		return
	}
	s.changes = append(s.changes, c)
	if len(s.changes) >= 2*maxRetainedChanges {
		s.changes = slices.Clone(s.changes[len(s.changes)-maxRetainedChanges:])
	}
}

// applyChecked applies a validated change as the next revision. It returns a
// function that undoes the change.
func (s *Store) applyChecked(c entry.Change) (undo func()) {
	oldRevision, oldLimitsRevision := s.revision, s.limitsRevision
	var undoObjects func()
	s.revision++
	s.topology = nil
	if s.redistributesQuotas(c) {
		s.limitsRevision = s.revision
	}
	switch {
	case c.Contract != nil:
		v := *c.Contract
		v.Revision = s.revision
		undoObjects = s.putContract(v.Customer, &v)
	case c.Upstream != nil:
		v := *c.Upstream
		v.Revision = s.revision
		undoObjects = s.putUpstream(v.ID, &v)
	case c.VM != nil:
		v := *c.VM
		v.Revision = s.revision
		undoObjects = s.putVM(v.ID, &v)
	case c.Remove != nil && c.Remove.Upstream != "":
		undoObjects = s.putUpstream(c.Remove.Upstream, nil)
	case c.Remove != nil:
		undoObjects = s.putVM(c.Remove.VM, nil)
	case c.Document != nil:
		undoObjects = s.putDocument(c.Document)
	case c.Zone != nil:
		undoObjects = s.putZoneOrder(*c.Zone)
	default:
		s.putAll(*c.InitialConfig)
		undoObjects = func() { *s = Store{} }
	}
	return func() {
		undoObjects()
		s.revision, s.limitsRevision = oldRevision, oldLimitsRevision
		s.topology = nil
	}
}

// redistributesQuotas reports whether a change may alter a VM's floor, the part
// of an existing limit that it uses without a lease. No VM uses a part of a new
// limit yet.
func (s *Store) redistributesQuotas(c entry.Change) bool {
	switch {
	case c.Contract != nil:
		old, known := s.contracts.rows[c.Contract.Customer]
		return known && old.Concurrency != c.Contract.Concurrency
	case c.Upstream != nil:
		old, known := s.upstreams.rows[c.Upstream.ID]
		return known && old.MaxConns != c.Upstream.MaxConns
	case c.VM != nil:
		_, known := s.vms.rows[c.VM.ID]
		return !known
	case c.Document != nil, c.Zone != nil:
		return false
	default:
		return true
	}
}

func (s *Store) putContract(id string, v *model.Contract) (undo func()) {
	return put(&s.contracts, &s.objectSum, id, v, hashContract, func(*model.Contract, int) {})
}

func (s *Store) putUpstream(id model.UpstreamID, v *model.Upstream) (undo func()) {
	return put(&s.upstreams, &s.objectSum, id, v, hashUpstream, s.indexUpstream)
}

func (s *Store) putVM(id model.VMID, v *model.VM) (undo func()) {
	return put(&s.vms, &s.objectSum, id, v, hashVM, s.indexVM)
}

func (s *Store) putDocument(d *model.Document) (undo func()) {
	old := s.document
	set := func(d *model.Document) {
		if s.document != nil {
			s.objectSum -= hashDocument(s.document)
		}
		if s.document = d; d != nil {
			s.objectSum += hashDocument(d)
		}
	}
	set(d)
	return func() { set(old) }
}

// putZoneOrder takes a zone out of use or puts it back. Zones are left out of the
// checksum, which VMs of earlier builds compute without them.
func (s *Store) putZoneOrder(o entry.ZoneOrder) (undo func()) {
	old := s.zonesOut
	zones := slices.DeleteFunc(slices.Clone(old), func(z model.Zone) bool { return z == o.Zone })
	if o.Out {
		zones = append(zones, o.Zone)
		slices.Sort(zones)
	}
	s.zonesOut = zones
	return func() { s.zonesOut = old }
}

// indexUpstream adds an upstream to upstreamsByAddr, or removes it when n is -1.
func (s *Store) indexUpstream(v *model.Upstream, n int) {
	if s.upstreamsByAddr == nil {
		s.upstreamsByAddr = make(map[netip.AddrPort]model.UpstreamID)
	}
	if n > 0 {
		s.upstreamsByAddr[v.Addr] = v.ID
	} else if s.upstreamsByAddr[v.Addr] == v.ID {
		delete(s.upstreamsByAddr, v.Addr)
	}
}

// indexVM adds a VM to vmsByAddr and diskVMs, or removes it when n is -1.
func (s *Store) indexVM(v *model.VM, n int) {
	if s.vmsByAddr == nil {
		s.vmsByAddr = make(map[netip.AddrPort]model.VMID)
	}
	if v.HasDisk {
		s.diskVMs += n
	}
	if n > 0 {
		s.vmsByAddr[v.PeerAddr] = v.ID
	} else if s.vmsByAddr[v.PeerAddr] == v.ID {
		delete(s.vmsByAddr, v.PeerAddr)
	}
}

// put sets a row, or removes it when v is nil, and updates the checksum and the
// indexes. It calls index with -1 for the old row and 1 for the new one.
func put[K comparable, V any](
	t *table[K, V], sum *uint64, id K, v *V, hash func(*V) uint64, index func(v *V, n int),
) (undo func()) {
	t.unshare()
	old, known := t.rows[id]
	if known {
		*sum -= hash(&old)
		index(&old, -1)
		delete(t.rows, id)
	}
	if v != nil {
		*sum += hash(v)
		index(v, 1)
		t.rows[id] = *v
	}
	return func() {
		var previous *V
		if known {
			previous = &old
		}
		put(t, sum, id, previous, hash, index)
	}
}

// Apply applies a committed change. at is the time of its log entry. A change
// with an operation id that was applied before returns the result it had then.
func (s *Store) Apply(at time.Time, c entry.Change) entry.Result {
	s.ops.expire(at)
	if c.Op == "" {
		return s.checkAndApply(c)
	}
	hash := hashChange(&c)
	if known, ok := s.ops.find(c.Op); ok {
		if known.ChangeHash != hash {
			return invalid("operation id %q was used for another change", c.Op)
		}
		return known.Result
	}
	result := s.checkAndApply(c)
	s.ops.add(entry.OpRecord{ID: c.Op, ChangeHash: hash, Result: result})
	return result
}

func (s *Store) checkAndApply(c entry.Change) entry.Result {
	c, result := s.check(c)
	if result.Status != entry.StatusOK {
		return result
	}
	if c.Document != nil && s.document != nil && c.Document.Version <= s.document.Version {
		// A resend, or another operator's newer document was committed first.
		return entry.Result{Status: entry.StatusOK, Revision: s.revision}
	}
	if c.Zone != nil && s.ZoneOrderInForce(*c.Zone) {
		// A resend, or an order of an earlier build that is in force already.
		return entry.Result{Status: entry.StatusOK, Revision: s.revision}
	}
	s.applyChecked(c)
	s.recordChange(c)
	return entry.Result{Status: entry.StatusOK, Revision: s.revision}
}
