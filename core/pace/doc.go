// Package pace finds how fast the load of an upstream may return after a start, a failure
// or a time in which it was not used. It goes by how the upstream answers and by the load
// that its answers report, and not by a timer.
//
// # Usage
//
//	var w pace.Window // an upstream in ordinary use
//	w.Begin(at, slots, vms)
//	if w.Allows(at, inFlight, draw) { w.Sent(at) } // send an attempt
//	w.HandleAnswer(at, pace.Answer{Took: took, Usual: usual, Load: load})
//	w.HandleRefused(at) // no connection
//	w.HandleTrouble(at) // it shed the attempt, failed, or did not answer in time
//
// The window is the number of attempts that a VM may have in flight. It starts at the VM's
// part of the upstream's slots, which is below one where many VMs share few slots; an
// attempt is then allowed by chance. As with the window of a TCP connection (RFC 5681) it
// doubles with each answer until the first trouble and rises slowly after that; trouble
// halves it. An answer that reports the upstream's load speaks of the whole fleet: while all
// slots are busy the window stays as it is, and a queue shrinks it, so that a VM that sees
// few answers learns from the others' requests. The window ends when it no longer binds.
package pace
