package ledger

import (
	"container/heap"
	"slices"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// Limits of the ledger.
const (
	maxKeyAhead     = time.Minute      // how far a key's timestamp may be ahead of the log time
	maxRemovals     = 16               // expired records removed per log entry; an entry adds at most one
	releaseLifetime = 10 * time.Minute // how long the release of an unknown claim is remembered
)

// Ledger records the claims and outcomes of idempotency keys. The zero value has
// no keys.
type Ledger struct {
	now      time.Time // highest time of a log entry so far
	records  map[recordID]*record
	byExpiry expiryHeap
}

// recordID identifies a record. The zero key is that of the customer's watermark.
type recordID struct {
	customer string
	key      model.Key
}

type record struct {
	entry.ClaimRecord
	heapIndex int // position in the expiryHeap
}

// isWatermark reports whether the record is a customer's watermark: the key up
// to whose timestamp all keys of the customer are expired.
func (r *record) isWatermark() bool {
	return r.Holder.IsZero()
}

func (r *record) id() recordID {
	if r.isWatermark() {
		return recordID{customer: r.Customer}
	}
	return recordID{customer: r.Customer, key: r.Key}
}

// Apply applies a committed Claim, Settle or Release. at is the time of its log
// entry.
func (l *Ledger) Apply(at time.Time, c entry.Command) entry.Result {
	if at.After(l.now) {
		l.now = at
	}
	l.removeExpired()
	switch c := c.(type) {
	case entry.Claim:
		return l.claim(c)
	case entry.Settle:
		return l.settle(c)
	case entry.Release:
		return l.release(c)
	default:
		return invalidResult("not a command of the ledger")
	}
}

func invalidResult(detail string) entry.Result {
	return entry.Result{Status: entry.StatusInvalid, Detail: detail}
}

func (l *Ledger) claim(c entry.Claim) entry.Result {
	if r := l.validate(c.Customer, c.Key, c.Holder); r.Status != entry.StatusOK {
		return r
	}
	if c.Retention <= 0 {
		return invalidResult("the retention must be above 0")
	}
	existing, ok := l.unexpired(recordID{c.Customer, c.Key})
	if ok && !existing.Released && existing.Outcome == nil && existing.Holder.Equal(c.Holder) && existing.Fingerprint == c.Fingerprint {
		return entry.Result{Status: entry.StatusOK}
	}
	expiresAt := c.Key.Time().Add(min(c.Retention, model.MaxRetention))
	if l.now.After(expiresAt) || l.expired(c.Customer, c.Key) {
		return entry.Result{Status: entry.StatusExpired}
	}
	if !ok {
		l.add(entry.ClaimRecord{
			Customer: c.Customer, Key: c.Key, Fingerprint: c.Fingerprint, Holder: c.Holder, ExpiresAt: expiresAt,
		})
		return entry.Result{Status: entry.StatusOK}
	}
	// A release that arrived before its claim has made a record without a
	// fingerprint.
	if existing.Fingerprint != c.Fingerprint && (!existing.Released || existing.Fingerprint != 0) {
		return entry.Result{Status: entry.StatusConflict, Detail: "the key belongs to another request"}
	}
	switch {
	case existing.Outcome != nil:
		return entry.Result{Status: entry.StatusSettled, Outcome: existing.Outcome}
	case existing.Released && !existing.Holder.Equal(c.Holder):
		existing.Released = false
		existing.Holder = c.Holder
		existing.Fingerprint = c.Fingerprint
		existing.ExpiresAt = expiresAt
		heap.Fix(&l.byExpiry, existing.heapIndex)
		return entry.Result{Status: entry.StatusOK}
	case existing.Released:
		// The claim, or a copy of it, arrived after its own release. Its request
		// has ended and must not run.
		return entry.Result{Status: entry.StatusPending, Detail: "the holder released the key"}
	default:
		return entry.Result{Status: entry.StatusPending}
	}
}

func (l *Ledger) settle(c entry.Settle) entry.Result {
	if r := l.validate(c.Customer, c.Key, c.Holder); r.Status != entry.StatusOK {
		return r
	}
	existing, ok := l.unexpired(recordID{c.Customer, c.Key})
	switch {
	case !ok:
		return entry.Result{Status: entry.StatusExpired, Detail: "the key has no record"}
	case !existing.Holder.Equal(c.Holder) || existing.Released:
		return entry.Result{Status: entry.StatusConflict, Detail: "the key has another holder"}
	case existing.Outcome == nil:
		outcome := c.Outcome
		existing.Outcome = &outcome
	}
	return entry.Result{Status: entry.StatusOK}
}

func (l *Ledger) release(c entry.Release) entry.Result {
	if r := l.validate(c.Customer, c.Key, c.Holder); r.Status != entry.StatusOK {
		return r
	}
	existing, ok := l.unexpired(recordID{c.Customer, c.Key})
	switch {
	case !ok && l.expired(c.Customer, c.Key):
		return entry.Result{Status: entry.StatusExpired}
	case !ok:
		// The claim may arrive after its release, and must not acquire the key then.
		l.add(entry.ClaimRecord{
			Customer: c.Customer, Key: c.Key, Holder: c.Holder, Released: true, ExpiresAt: l.now.Add(releaseLifetime),
		})
	case !existing.Holder.Equal(c.Holder):
		return entry.Result{Status: entry.StatusConflict, Detail: "the key has another holder"}
	case existing.Outcome != nil:
		return entry.Result{Status: entry.StatusSettled, Outcome: existing.Outcome}
	default:
		existing.Released = true
	}
	return entry.Result{Status: entry.StatusOK}
}

// validate rejects commands with missing or impossible fields.
func (l *Ledger) validate(customer string, key model.Key, holder entry.ClaimHolder) entry.Result {
	switch {
	case customer == "" || holder.IsZero():
		return invalidResult("the customer and the holder must be set")
	case key.IsZero():
		return invalidResult("the key must be set")
	case key.Time().Sub(l.now) > maxKeyAhead:
		return invalidResult("the key's timestamp is more than " + maxKeyAhead.String() + " ahead")
	}
	return entry.Result{Status: entry.StatusOK}
}

// unexpired returns the record of a key unless its retention has ended.
func (l *Ledger) unexpired(id recordID) (*record, bool) {
	r, ok := l.records[id]
	if !ok || l.now.After(r.ExpiresAt) {
		return nil, false
	}
	return r, true
}

// expired reports whether the retention of the key's record has ended or, for a
// key without a record or with a released one, whether it is at or below the
// customer's watermark. A raised retention does not make such a key valid again.
func (l *Ledger) expired(customer string, key model.Key) bool {
	r, ok := l.records[recordID{customer, key}]
	if ok && !r.Released {
		return l.now.After(r.ExpiresAt)
	}
	watermark, ok := l.records[recordID{customer: customer}]
	return ok && !key.Time().After(watermark.Key.Time())
}

func (l *Ledger) add(c entry.ClaimRecord) {
	if l.records == nil {
		l.records = make(map[recordID]*record)
	}
	r := &record{ClaimRecord: c}
	if old, ok := l.records[r.id()]; ok {
		heap.Remove(&l.byExpiry, old.heapIndex)
	}
	l.records[r.id()] = r
	heap.Push(&l.byExpiry, r)
}

// removeExpired removes records whose retention has ended, oldest first. It
// raises the watermark to each key that may have run.
func (l *Ledger) removeExpired() {
	for range maxRemovals {
		if len(l.byExpiry) == 0 || !l.now.After(l.byExpiry[0].ExpiresAt) {
			return
		}
		r := heap.Pop(&l.byExpiry).(*record)
		delete(l.records, r.id())
		if !r.isWatermark() && !r.Released {
			l.raiseWatermark(r.Customer, r.Key)
		}
	}
}

// raiseWatermark raises the customer's watermark to a key unless it is there
// already. The watermark is kept until every key below it is older than the
// longest retention.
func (l *Ledger) raiseWatermark(customer string, key model.Key) {
	watermark, ok := l.records[recordID{customer: customer}]
	if ok && !key.Time().After(watermark.Key.Time()) {
		return
	}
	l.add(entry.ClaimRecord{Customer: customer, Key: key, ExpiresAt: key.Time().Add(model.MaxRetention)})
}

// Image returns all records, including watermarks, by end of retention.
func (l *Ledger) Image() []entry.ClaimRecord {
	sorted := slices.Clone(l.byExpiry)
	slices.SortFunc(sorted, compareExpiry)
	image := make([]entry.ClaimRecord, len(sorted))
	for i, r := range sorted {
		image[i] = r.ClaimRecord
	}
	return image
}

// Restore replaces the ledger by an image taken at the log time at. The log time
// and the watermarks never decrease.
func (l *Ledger) Restore(claims []entry.ClaimRecord, at time.Time) {
	before := l.records
	now := l.now
	if at.After(now) {
		now = at
	}
	*l = Ledger{now: now}
	for _, c := range claims {
		l.add(c)
	}
	for _, r := range before {
		if r.isWatermark() {
			l.raiseWatermark(r.Customer, r.Key)
		}
	}
}
