// Package soak plans the faults of a soak and judges what callers, upstreams
// and operators see meanwhile. It reads no clock and touches no process: State
// is a reducer over events, and its effects are carried out elsewhere.
//
// # Usage
//
//	s := soak.New(soak.Config{Seed: 7, Period: 30 * time.Second, Began: now, ...})
//	for each event e: effects := s.Step(e.At, e.Body)
//	s.Done()   // the soak is over
//	s.Report() // findings and figures
//
// Times are instants of one clock. A finding is a broken promise: an answer
// that is not what an upstream gave, a request that ran too often or for nobody,
// a document that was lost or taken back, a process that ended by itself.
package soak
