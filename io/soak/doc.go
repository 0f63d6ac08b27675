// Package soak runs the processes of a fleet on one machine, injects faults from
// outside and feeds what callers, upstreams and operators see to the reducer of
// core/soak, which plans and judges.
//
// # Usage
//
//	s := &soak.Soak{Seed: 7, Period: 30 * time.Second, Program: path, Folder: dir, Rig: platform.Emulator{}}
//	report, err := s.Run(ctx)
//
// The folder gets a settings file, a data folder and a log for each VM, and
// "faults", the lines of what was done and found. All addresses are loopback
// ones. Forwarding proxies stand before each VM and upstream; signals go only to
// processes that the soak has started.
package soak
