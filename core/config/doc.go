// Package config holds the replicated configuration: contracts, upstreams and VMs
// with their revisions, the routing document, and the results of recent operator
// changes.
//
// # Usage
//
// A replica of the log applies committed changes. A VM without a log applies the
// deltas that its parent in the distribution tree sends:
//
//	var s config.Store
//	result := s.Apply(at, change) // at is the time of the log entry
//	err := s.ApplyDelta(delta)    // *DeltaError when the delta does not fit
//	topology := s.Topology()      // immutable; unchanged maps are shared with earlier topologies
//
// The revision never decreases. Stores that applied the same changes have the
// same checksum.
package config
