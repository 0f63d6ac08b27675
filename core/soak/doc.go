// Package soak plans the random faults of a soak test and checks what callers,
// upstreams and operators see while the faults are in force. It reads no clock and
// touches no process: State is a reducer over events, and io/soak carries out its
// effects.
//
// # Usage
//
//	s := soak.New(soak.Config{Seed: 7, FaultPeriod: 30 * time.Second, StartedAt: now, ...})
//	for each event e: effects := s.Step(e.At, e.Body)
//	s.JudgeEnd() // the run is over
//	s.Report()   // findings and figures
//
// All times are of one clock. A finding is a violated guarantee: an answer
// other than the upstream's, a request that ran too often or that no caller
// sent, a configuration document that was lost or reverted, or a process that
// exited on its own.
package soak
