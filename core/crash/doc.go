// Package crash finds requests that crash the upstreams that run them. A
// request is known by its fingerprint. One that was not answered recently is
// tried on a single shard first; one whose attempts ended by a connection reset
// is a suspect and is tried one attempt at a time; one that crashed two
// upstreams is quarantined.
//
// # Usage
//
//	var g crash.Guard
//	switch g.Judge(at, fp) {
//	case crash.Canary, crash.Alone:
//		if g.Enter(fp) { ... } // one attempt at a time
//	}
//	probe := g.Reset(at, fp, "u1", true) // the attempt ended by a reset
//	struck := g.Reported(at, "u1", true)    // the probe found u1 down: share these
//
// Only attempts made alone give strikes. When a zone is cut off, attempts of
// many innocent requests are reset at once, and none of them is a strike.
package crash
