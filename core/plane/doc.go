// Package plane is the control state of a process. It keeps the configuration
// in force, publishes it to the traffic states with this VM's shares, and
// carries their claims and settlements to the replicated log.
//
// # Usage
//
//	var c plane.Control
//	out = c.Start(at, start, out)      // effect.ToTraffic with the first view
//	out = c.Propose(at, propose, out)  // answered by an event.Proposed
//
// All state is that of the one control goroutine.
package plane
