// Package plane is the control state of a process. It composes the replicated
// log, the configuration and the ledger, publishes the configuration in force to
// the traffic states with this VM's shares, and carries commands to the leader.
//
// # Usage
//
//	var c plane.Control
//	c.Replicate(log)                   // on a VM with a disk, before Start
//	c.Distribute(tree)                 // whose store is c.Follower()
//	c.Observe(watch)
//	c.Lease(holder, granter)
//	out = c.Start(at, start, out)      // effect.ToTraffic when a view is in force
//	out = c.Propose(at, propose, out)  // answered by an event.ProposeResponse
//	out = c.Command(at, command, out)  // answered by an effect.AnswerOperator
//
// All state is that of the one control goroutine. One file holds one concern:
// log.go applies what the log commits, queue.go retries commands until they are
// answered, and tree.go, member.go and lease.go are where the distribution tree,
// the liveness watch and the leases attach. In a fleet that enrols by itself,
// enrol.go registers VMs with disks, roster.go has the list of upstreams, hint.go
// passes on what the traffic found, and daemons.go tells entry VMs of each other.
package plane
