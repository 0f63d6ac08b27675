// Package ledger decides which request may run under an idempotency key. A key
// runs at most once: its record is kept for the contract's retention, and a
// floor per customer keeps every older key expired after its record is dropped.
//
// # Usage
//
//	var b ledger.Book
//	result := b.Apply(at, entry.Claim{…}) // at is the time of the log entry
//
// Time is the highest log time seen, so every replica decides alike.
package ledger
