// Package config is the replicated configuration: contracts, upstreams and VMs
// with their revisions, and the remembered results of operators' changes.
//
// # Usage
//
// A replica of the log applies committed changes; a VM without a log follows
// the deltas of its parent:
//
//	var s config.Store
//	result := s.Apply(at, change)  // at is the time of the log entry
//	err := s.Follow(delta)         // *FollowError when the delta does not fit
//	topology := s.Topology()       // immutable, shared with earlier ones where nothing changed
//
// The revision never goes back. Every replica that applied the same changes has
// the same checksum.
package config
