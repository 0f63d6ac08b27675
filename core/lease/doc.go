// Package lease divides fleet-wide limits among the VMs: half as fixed floors,
// half as leases that the leader grants by demand.
//
// # Usage
//
// Every VM has a Holder:
//
//	holder := lease.Holder{Self: self, Began: began}
//	out = holder.Ask(at, leader, demand, out)   // each second, and when demand rises
//	changed := holder.Granted(at, grant)
//	shares := holder.Shares(at, topology, loops) // one for each traffic loop
//	next := holder.Next(at)                      // when the shares change by themselves
//
// Every VM that replicates the log has a Granter:
//
//	granter.Observe(at, topology)                   // at each new configuration, leading or not
//	granter.Lead(at)                                // when it becomes the leader
//	out = granter.Ask(at, from, ask, topology, out) // answers only while it leads
//	granter.Resign()                                // when it no longer leads
//
// # Why the sum of the shares holds
//
// A lease ends for its holder 3 s after it asked and for the leader 4 s after
// the grant, so the holder always stops first. A new leader grants nothing for
// 4 s, when the leases of the one before have ended; a leader that was replaced
// must stop granting within the uncertainty of 1 s.
//
// A VM uses a lowered floor at once and a raised one 6 s later, when every VM
// that can be reached has the configuration that made room for it. A VM that is
// cut off goes on with the floors of the last configuration that it had. When a
// VM skips configurations, it takes the lowest floor that they may have had
// before it waits for the new one: others may have used the room between. The
// leader knows from each Ask which configuration a VM has, counts the largest
// floor since then for it, and leases only what is left. Floors alone pass the
// limit only if the fleet grows to more than twice its size (e times for steady
// growth) while VMs are cut off, or if a removed VM goes on running for more
// than 6 s.
//
// Where a limit does not divide evenly, some VMs have one more than others; a
// hash of the customer or upstream chooses them. Below one for each VM the
// others have a floor of 0. Such a VM queues requests until a lease comes and
// refuses them at the deadline. In a fleet without disk VMs nobody grants, and
// the floors divide the whole limit.
package lease
