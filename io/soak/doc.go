// Package soak runs a soak test: it runs the processes of a fleet on one machine,
// injects faults from outside, and feeds what callers, upstreams and operators see
// to the reducer of core/soak, which plans the faults and checks the observations.
//
// # Usage
//
//	s := &soak.Soak{Seed: 7, FaultPeriod: 30 * time.Second, Program: path, Folder: dir, Platform: platform.Emulator{}}
//	report, err := s.Run(ctx)
//
// The folder contains a settings file, a data folder and a log for each VM, and the
// file "faults", which logs injected faults and findings. All addresses are loopback
// addresses. A fault-injecting proxy is in front of each VM and upstream. Signals
// are sent only to processes that the soak test has started.
package soak
