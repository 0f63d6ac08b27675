// Package member watches the VMs below this one in the distribution tree and
// decides which of them are suspected to have failed.
//
// # Usage
//
//	watch := member.Watch{Self: self, Seed: seed}
//	watch.Register(topology.VMs)         // at each new configuration
//	out = watch.Heard(at, child, out)    // each digest of a child
//	out = watch.Peer(at, from, m, out)   // Ping, Pong, Probe and Probed
//	out = watch.Hint(at, platform, out)  // the platform's list
//	out = watch.Timer(at, out)           // event.TimerLiveness
//	ids := watch.Suspects(at)
//
// A VM that is silent here but answers a witness has another parent, which
// watches it; this VM then stops watching it.
package member
