package config

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// maxChanges is how many changes are retained for Since.
const maxChanges = 1000

// Store is the configuration at one revision. The zero value is empty at
// revision 0.
type Store struct {
	revision  model.Revision
	moved     model.Revision // last change that may lower or raise a floor in use
	contracts table[string, model.Contract]
	upstreams table[model.UpstreamID, model.Upstream]
	vms       table[model.VMID, model.VM]
	addrs     map[netip.AddrPort]model.UpstreamID
	peers     map[netip.AddrPort]model.VMID
	disks     int // VMs with a disk
	document  *model.Document
	objects   uint64 // sum of the hashes of all objects
	ops       operations
	changes   []entry.Change // the last one led to revision
	topology  *model.Topology
}

// table is a map that is copied before a write once a topology shares it.
type table[K comparable, V any] struct {
	rows   map[K]V
	shared bool
}

func (t *table[K, V]) own() {
	if t.rows == nil {
		t.rows = make(map[K]V)
	}
	if t.shared {
		t.rows = maps.Clone(t.rows)
		t.shared = false
	}
}

// share returns the map for readers of other goroutines.
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

// Sum returns the checksum of the revision and every object. Operation ids do
// not count, as VMs without a log do not keep them.
func (s *Store) Sum() uint64 {
	return s.objects + mix(uint64(s.revision))
}

// Topology returns the configuration in force. It is immutable. Of the three
// maps only those changed since the last call are copied.
func (s *Store) Topology() *model.Topology {
	if s.topology == nil {
		s.topology = &model.Topology{
			Revision: s.revision, LimitsRevision: s.moved, Contracts: s.contracts.share(), Upstreams: s.upstreams.share(), VMs: s.vms.share(),
			Document: s.document,
		}
	}
	return s.topology
}

// VM returns one VM. Unlike Topology it shares nothing, so that a later change
// copies nothing.
func (s *Store) VM(id model.VMID) (model.VM, bool) {
	vm, ok := s.vms.rows[id]
	return vm, ok
}

// Image returns the configuration in a fixed order.
func (s *Store) Image() entry.Config {
	return entry.Config{
		Revision:       s.revision,
		LimitsRevision: s.moved,
		Contracts:      sorted(s.contracts.rows),
		Upstreams:      sorted(s.upstreams.rows),
		VMs:            sorted(s.vms.rows),
		Ops:            s.ops.image(),
		Document:       s.document,
	}
}

func sorted[K cmp.Ordered, V any](rows map[K]V) []V {
	values := make([]V, 0, len(rows))
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		values = append(values, rows[k])
	}
	return values
}

// Restore replaces the configuration by an image, unless the image has a lower
// revision.
func (s *Store) Restore(c entry.Config) {
	if c.Revision < s.revision {
		return
	}
	*s = Store{revision: c.Revision, moved: c.LimitsRevision}
	s.fill(c)
	s.ops.restore(c.Ops)
}

// fill adds the objects of an image.
func (s *Store) fill(c entry.Config) {
	for _, v := range c.Contracts {
		s.putContract(v.Customer, &v)
	}
	for _, v := range c.Upstreams {
		s.putUpstream(v.ID, &v)
	}
	for _, v := range c.VMs {
		s.putVM(v.ID, &v)
	}
	if c.Document != nil {
		s.putDocument(c.Document)
	}
}

// Since returns the changes after a revision. It reports false when some of
// them are not retained any more.
func (s *Store) Since(from model.Revision) (changes []entry.Change, ok bool) {
	if from > s.revision || s.revision-from > model.Revision(len(s.changes)) {
		return nil, false
	}
	return slices.Clone(s.changes[len(s.changes)-int(s.revision-from):]), true
}

// retain keeps a change for Since. It cuts the list only when it is twice as
// long as needed, so that the cost per change stays constant.
func (s *Store) retain(c entry.Change) {
	if c.Document != nil {
		// Documents are large and each replaces the last; whoever lacks more than
		// the newest gets the whole configuration.
		s.changes = []entry.Change{c}
		return
	}
	s.changes = append(s.changes, c)
	if len(s.changes) >= 2*maxChanges {
		s.changes = slices.Clone(s.changes[len(s.changes)-maxChanges:])
	}
}

// advance puts a checked change in force at the next revision and returns how
// to undo it.
func (s *Store) advance(c entry.Change) (undo func()) {
	before, moved := s.revision, s.moved
	var back func()
	s.revision++
	s.topology = nil
	if s.moves(c) {
		s.moved = s.revision
	}
	switch {
	case c.Contract != nil:
		v := *c.Contract
		v.Revision = s.revision
		back = s.putContract(v.Customer, &v)
	case c.Upstream != nil:
		v := *c.Upstream
		v.Revision = s.revision
		back = s.putUpstream(v.ID, &v)
	case c.VM != nil:
		v := *c.VM
		v.Revision = s.revision
		back = s.putVM(v.ID, &v)
	case c.Remove != nil && c.Remove.Upstream != "":
		back = s.putUpstream(c.Remove.Upstream, nil)
	case c.Remove != nil:
		back = s.putVM(c.Remove.VM, nil)
	case c.Document != nil:
		back = s.putDocument(c.Document)
	default:
		s.fill(*c.InitialConfig)
		back = func() { *s = Store{} }
	}
	return func() {
		back()
		s.revision, s.moved = before, moved
		s.topology = nil
	}
}

// moves reports whether a change may lower or raise a floor that a VM uses. A
// limit that is new has no floors yet.
func (s *Store) moves(c entry.Change) bool {
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
	case c.Document != nil:
		return false
	default:
		return true
	}
}

func (s *Store) putContract(id string, v *model.Contract) (undo func()) {
	return put(&s.contracts, &s.objects, id, v, hashContract, func(*model.Contract, int) {})
}

func (s *Store) putUpstream(id model.UpstreamID, v *model.Upstream) (undo func()) {
	return put(&s.upstreams, &s.objects, id, v, hashUpstream, s.indexUpstream)
}

func (s *Store) putVM(id model.VMID, v *model.VM) (undo func()) {
	return put(&s.vms, &s.objects, id, v, hashVM, s.indexVM)
}

func (s *Store) putDocument(d *model.Document) (undo func()) {
	old := s.document
	set := func(d *model.Document) {
		if s.document != nil {
			s.objects -= hashDocument(s.document)
		}
		if s.document = d; d != nil {
			s.objects += hashDocument(d)
		}
	}
	set(d)
	return func() { set(old) }
}

func (s *Store) indexUpstream(v *model.Upstream, n int) {
	if s.addrs == nil {
		s.addrs = make(map[netip.AddrPort]model.UpstreamID)
	}
	if n > 0 {
		s.addrs[v.Addr] = v.ID
	} else if s.addrs[v.Addr] == v.ID {
		delete(s.addrs, v.Addr)
	}
}

func (s *Store) indexVM(v *model.VM, n int) {
	if s.peers == nil {
		s.peers = make(map[netip.AddrPort]model.VMID)
	}
	if v.HasDisk {
		s.disks += n
	}
	if n > 0 {
		s.peers[v.PeerAddr] = v.ID
	} else if s.peers[v.PeerAddr] == v.ID {
		delete(s.peers, v.PeerAddr)
	}
}

// put sets a row, or removes it when v is nil, and keeps the checksum and the
// indexes in step. index is called with -1 for the old row and 1 for the new.
func put[K comparable, V any](
	t *table[K, V], sum *uint64, id K, v *V, hash func(*V) uint64, index func(v *V, n int),
) (undo func()) {
	t.own()
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
		var back *V
		if known {
			back = &old
		}
		put(t, sum, id, back, hash, index)
	}
}

// Apply applies one committed change. at is the time of its log entry.
func (s *Store) Apply(at time.Time, c entry.Change) entry.Result {
	s.ops.advance(at)
	if c.Op == "" {
		return s.decide(c)
	}
	hash := hashChange(&c)
	if known, ok := s.ops.find(c.Op); ok {
		if known.ChangeHash != hash {
			return invalid("operation id %q was used for another change", c.Op)
		}
		return known.Result
	}
	result := s.decide(c)
	s.ops.add(entry.OpRecord{ID: c.Op, ChangeHash: hash, Result: result})
	return result
}

func (s *Store) decide(c entry.Change) entry.Result {
	c, result := s.check(c)
	if result.Status != entry.StatusOK {
		return result
	}
	if c.Document != nil && s.document != nil && c.Document.Version <= s.document.Version {
		// Sent again, or overtaken by another operator's.
		return entry.Result{Status: entry.StatusOK, Revision: s.revision}
	}
	s.advance(c)
	s.retain(c)
	return entry.Result{Status: entry.StatusOK, Revision: s.revision}
}
