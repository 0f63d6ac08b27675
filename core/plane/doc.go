// Package plane is the control state of a process. It composes the replicated
// log, the configuration and the ledger of idempotency keys, publishes the
// configuration in force to the traffic states together with this VM's quotas,
// and forwards commands to the leader of the log.
//
// # Usage
//
//	var c plane.Control
//	c.SetLog(log)   // on a disk VM; all Set methods before Start
//	c.SetTree(tree) // whose store is c.TreeStore()
//	c.SetFailureDetector(detector)
//	c.SetLeases(holder, granter)
//	out = c.Start(at, start, out) // an effect.ToTraffic for each view
//	out = c.HandleProposeRequest(at, request, out) // answered by an event.ProposeResponse
//	out = c.HandleOperatorCommand(at, command, out) // answered by an effect.AnswerOperator
//
// Each method named Handle handles the event of that name, and Start, Drain and
// Leave those of theirs. One goroutine runs the control state.
//
// # Kinds of VMs
//
// A disk VM has a data folder and may replicate the log. An entry VM has none; it
// follows a disk VM, its parent in the distribution tree, and sends it digests.
// With event.Start.SelfRegistration, disk VMs register themselves in the
// configuration, entry VMs are not registered, and the platform lists the
// upstreams. A fleet without disk VMs has neither a log nor a leader, and serves
// the configuration in its settings.
//
// # Files
//
// log.go applies what the log commits, and proposals.go retries commands until
// they are answered. confirm.go tells late changes from new ones.
// tree.go, liveness.go and lease.go connect the distribution tree, the failure
// detector and the leases. For a fleet with self-registration,
// registration.go registers and removes disk VMs, founding.go has the first change
// wait for enough of them, upstream_list.go reads and distributes the list of
// upstreams, upstream_warning.go passes on warnings about single upstreams,
// entry_vms.go distributes the list of entry VMs, and isolation.go detects that the
// zone is cut off.
package plane
