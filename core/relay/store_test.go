package relay

import (
	"errors"
	"hash/fnv"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

const retainedChanges = 20

// sampleContract is the contract in every change.
var sampleContract = model.Contract{
	Customer: "tabadul", Indexes: []string{"pairing", "portal", "records"}, Concurrency: 200, Capacity: 0.5, RetryBudget: 0.05,
	Retention: 24 * time.Hour, Classes: []model.Class{
		{Name: "now", Wait: 80 * time.Millisecond, Price: 40, Weight: 4, MinCoverage: 0.9},
		{Name: "later", Wait: time.Second, Price: 10, Weight: 1, MinCoverage: 1},
	},
}

// fakeStore stores only the operation ids of the changes and the VMs of the
// fleet.
type fakeStore struct {
	vms             map[model.VMID]model.VM
	ops             []entry.OpRecord
	revisionLowered bool // a Restore lowered the revision
	topology        *model.Topology
}

func (s *fakeStore) Restore(c entry.Config) {
	s.revisionLowered = s.revisionLowered || len(c.Ops) < len(s.ops)
	s.ops = append([]entry.OpRecord(nil), c.Ops...)
}

func (s *fakeStore) Image() entry.Config {
	return entry.Config{Revision: s.Revision(), Ops: append([]entry.OpRecord(nil), s.ops...)}
}

func (s *fakeStore) ChangesSince(from model.Revision) ([]entry.Change, bool) {
	if int(from)+retainedChanges < len(s.ops) {
		return nil, false
	}
	var list []entry.Change
	for _, op := range s.ops[from:] {
		list = append(list, entry.Change{Op: op.ID, Contract: &sampleContract})
	}
	return list, true
}

func (s *fakeStore) ApplyDelta(d frame.ConfigDelta) error {
	if d.From != s.Revision() || int(d.To-d.From) != len(d.Changes) {
		return errors.New("delta does not fit")
	}
	for _, c := range d.Changes {
		s.ops = append(s.ops, entry.OpRecord{ID: c.Op})
	}
	if s.Checksum() != d.Checksum {
		s.ops = s.ops[:d.From]
		return errors.New("checksum differs")
	}
	return nil
}

func (s *fakeStore) Topology() *model.Topology {
	if len(s.ops) == 0 {
		return nil
	}
	if s.topology == nil {
		s.topology = &model.Topology{VMs: s.vms}
	}
	return s.topology
}

func (s *fakeStore) Revision() model.Revision { return model.Revision(len(s.ops)) }

func (s *fakeStore) Checksum() uint64 {
	h := fnv.New64a()
	for _, op := range s.ops {
		_, _ = h.Write([]byte(op.ID))
	}
	return h.Sum64()
}
