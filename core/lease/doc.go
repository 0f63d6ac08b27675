// Package lease divides fleet-wide limits among the VMs. Half of each limit is
// divided into fixed floors, which a VM may always use; the leader of the log
// leases the other half to VMs that need more.
//
// Connections to upstreams are not leased: their floors divide the whole limit.
//
// # Usage
//
// Every VM has a Holder:
//
//	holder := lease.Holder{Self: self, ProcessStart: processStart}
//	out = holder.RequestLease(at, leader, demand, out) // each second, and when demand rises
//	changed := holder.HandleLeaseResponse(at, response)
//	quotas := holder.Quotas(at, topology, loops) // one for each traffic loop
//	next := holder.NextChange(at)                // when the quotas next change over time
//
// Every VM that replicates the log has a Granter:
//
//	granter.Observe(at, topology) // at each new configuration, leader or not
//	granter.StartLeading(at)      // when the VM becomes the leader
//	out = granter.HandleLeaseRequest(at, from, request, topology, out)
//	granter.StopLeading() // when the VM is no longer the leader
//
// # Why the quotas never exceed a limit
//
// A lease ends for its holder 3 s after the request and for the leader 4 s
// after the grant, so the holder always stops first. A new leader grants
// nothing for 4 s, until the leases of the previous leader have ended. A
// replaced leader must stop granting within the difference of 1 s.
//
// A VM applies a lowered floor at once and a raised one after 6 s, when every
// reachable VM has the configuration that made room for it. A VM that is cut
// off keeps the floors of its last configuration. A VM that skips
// configurations first applies the lowest floor that one of them may have had,
// because other VMs may have used the room in the meantime, and then waits for
// the new floor. The leader learns from each request which configuration a VM
// has. It assumes that the VM uses the largest floor since that configuration,
// and leases only what remains. Floors alone exceed a limit only if the fleet
// grows to more than twice its size (e times with steady growth) while VMs are
// cut off, or if a removed VM keeps running for more than 6 s.
//
// If a limit does not divide evenly, some VMs get one more than others; a hash
// of the customer or upstream selects them. If a limit is smaller than the
// number of VMs, the others have a floor of 0. Such a VM queues requests until
// it receives a lease, and refuses them at the deadline. A fleet without disk
// VMs has no leader to grant leases, so the floors divide the whole limit.
package lease
