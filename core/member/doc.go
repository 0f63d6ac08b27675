// Package member is a failure detector: it decides which of the VMs below this
// one in the distribution tree are suspected to have failed.
//
// # Usage
//
//	detector := member.Detector{Self: self, Seed: seed}
//	detector.SetVMs(topology.VMs)                      // at each new configuration
//	out = detector.HandleHeartbeat(at, child, out)     // at each digest of a child
//	out = detector.HandlePeerMessage(at, from, m, out) // Ping, Pong, IndirectPing and IndirectPong
//	out = detector.HandlePlatformVMs(at, vms, out)     // the platform's list of VMs
//	out = detector.HandleTimer(at, out)                // event.TimerLiveness
//	ids := detector.Suspects(at)
//
// A child that sends no digest for silenceLimit is pinged directly and, through
// other VMs (witnesses), indirectly. If nobody reaches it, it is suspected. If it
// answers, it has chosen another parent, which watches it, and this VM stops
// watching it. A VM that fails repeatedly stays suspected for a while after it is
// back (flap damping).
package member
