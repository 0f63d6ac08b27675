// Package crash detects requests that crash the upstreams that run them, and
// restricts such requests. It identifies a request by its fingerprint:
//
//   - A request that was not answered recently runs on a single shard first.
//   - A request with an attempt that ended in a connection reset is a suspect,
//     and runs one attempt at a time.
//   - A request that crashed upstreams twice is quarantined: it is refused. An
//     upstream that comes back under its id counts again.
//   - After a quarantine it runs one attempt at a time until it is answered, and
//     another crash starts a longer quarantine.
//
// A reset counts as a strike against the fingerprint if the attempt was the only
// one of its request in flight. A probe that then finds the upstream down
// confirms the strike.
//
// # Usage
//
//	var g crash.Guard
//	switch g.Verdict(at, fp) {
//	case crash.CanaryFirst, crash.OneAtATime:
//		if g.Acquire(fp) { ... } // one attempt at a time
//	}
//	c := g.NextCrash(fp, "u1")              // when the attempt is sent
//	probe := g.RecordReset(at, fp, c, true) // the attempt ended in a reset
//	reports := g.RecordProbe(at, "u1", true) // the probe found u1 down: share these
//
// Guard finds the crashes of the own protocol. The routed path finds its own and
// keeps them in a History, as Guard does.
//
//	var h crash.History
//	c := h.Next(fp, "u1") // when the attempt is sent
//	if h.Add(at, fp, c) { // the upstream crashed while it ran it
//		share(h.Report(at, fp))
//	}
//	h.Merge(at, report) // from another VM
//	left := h.QuarantineLeft(at, fp)
//
// Strikes from attempts that run beside others would be misleading: when a zone
// is cut off, the attempts of many harmless requests are reset at once.
package crash
