// Package ledger decides which request may run under an idempotency key, so that
// a key runs at most once. A request claims its key before it runs. The claim is
// settled with the outcome, or released if the request did not run.
//
// The record of a key is kept for the contract's retention. When it is removed,
// the customer's watermark is raised to the key: every key with a timestamp up to
// that of the watermark is expired.
//
// # Usage
//
//	var l ledger.Ledger
//	result := l.Apply(at, entry.Claim{…}) // at is the time of the log entry
//
// The only clock is the highest time of a log entry so far, so that all replicas
// of the log decide alike.
package ledger
