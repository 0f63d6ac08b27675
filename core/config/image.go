package config

import (
	"cmp"
	"maps"
	"slices"

	"comfreypulley/core/entry"
)

// Image returns the configuration as lists in a fixed order.
func (s *Store) Image() entry.Config {
	return entry.Config{
		Revision:       s.revision,
		LimitsRevision: s.limitsRevision,
		Contracts:      sorted(s.contracts.rows),
		Upstreams:      sorted(s.upstreams.rows),
		VMs:            sorted(s.vms.rows),
		Ops:            s.ops.image(),
		Document:       s.document,
		ZonesOut:       s.zonesOut,
	}
}

func sorted[K cmp.Ordered, V any](rows map[K]V) []V {
	values := make([]V, 0, len(rows))
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		values = append(values, rows[k])
	}
	return values
}

// Restore replaces the configuration with an image. It ignores an image of a
// lower revision.
func (s *Store) Restore(c entry.Config) {
	if c.Revision < s.revision {
		return
	}
	*s = Store{revision: c.Revision, limitsRevision: c.LimitsRevision}
	s.putAll(c)
	s.ops.restore(c.Ops)
}

// putAll adds the objects of a configuration.
func (s *Store) putAll(c entry.Config) {
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
	s.zonesOut = c.ZonesOut
}
