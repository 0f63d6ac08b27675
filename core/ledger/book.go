package ledger

import (
	"container/heap"
	"slices"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// Bounds of the ledger.
const (
	maxAhead   = time.Minute      // by which a key's timestamp may be ahead of the log time
	maxDrops   = 16               // expired records dropped per entry; an entry adds at most one
	keepUnused = 10 * time.Minute // how long the release of an unknown claim is remembered
)

// Book is the ledger. The zero value has no keys.
type Book struct {
	now     time.Time // highest log time
	records map[name]*record
	queue   records // by end of retention
}

// name scopes a key by its customer. The zero key names the customer's floor.
type name struct {
	customer string
	key      model.Key
}

type record struct {
	entry.ClaimRecord
	index int // in the queue
}

func (r *record) floor() bool {
	return r.Holder.IsZero()
}

func (r *record) name() name {
	if r.floor() {
		return name{customer: r.Customer}
	}
	return name{customer: r.Customer, key: r.Key}
}

// Apply applies a committed Claim, Settle or Release. at is the time of its log
// entry.
func (b *Book) Apply(at time.Time, c entry.Command) entry.Result {
	if at.After(b.now) {
		b.now = at
	}
	b.drop()
	switch c := c.(type) {
	case entry.Claim:
		return b.claim(c)
	case entry.Settle:
		return b.settle(c)
	case entry.Release:
		return b.release(c)
	default:
		return invalid("not a command of the ledger")
	}
}

func invalid(detail string) entry.Result {
	return entry.Result{Status: entry.StatusInvalid, Detail: detail}
}

func (b *Book) claim(c entry.Claim) entry.Result {
	if r := b.check(c.Customer, c.Key, c.Holder); r.Status != entry.StatusOK {
		return r
	}
	if c.Retention <= 0 {
		return invalid("the retention must be above 0")
	}
	known, ok := b.live(name{c.Customer, c.Key})
	if ok && !known.Released && known.Outcome == nil && known.Holder.Equal(c.Holder) && known.Fingerprint == c.Fingerprint {
		return entry.Result{Status: entry.StatusOK}
	}
	until := c.Key.Time().Add(min(c.Retention, model.MaxRetention))
	if b.now.After(until) || b.expired(c.Customer, c.Key) {
		return entry.Result{Status: entry.StatusExpired}
	}
	if !ok {
		b.add(entry.ClaimRecord{
			Customer: c.Customer, Key: c.Key, Fingerprint: c.Fingerprint, Holder: c.Holder, ExpiresAt: until,
		})
		return entry.Result{Status: entry.StatusOK}
	}
	// A release of an unknown claim has no fingerprint.
	if known.Fingerprint != c.Fingerprint && (!known.Released || known.Fingerprint != 0) {
		return entry.Result{Status: entry.StatusConflict, Detail: "the key belongs to another request"}
	}
	switch {
	case known.Outcome != nil:
		return entry.Result{Status: entry.StatusSettled, Outcome: known.Outcome}
	case known.Released && !known.Holder.Equal(c.Holder):
		known.Released = false
		known.Holder = c.Holder
		known.Fingerprint = c.Fingerprint
		known.ExpiresAt = until
		heap.Fix(&b.queue, known.index)
		return entry.Result{Status: entry.StatusOK}
	case known.Released:
		// A copy of the claim arrived after its release; that request has ended.
		return entry.Result{Status: entry.StatusPending, Detail: "the holder released the key"}
	default:
		return entry.Result{Status: entry.StatusPending}
	}
}

func (b *Book) settle(c entry.Settle) entry.Result {
	if r := b.check(c.Customer, c.Key, c.Holder); r.Status != entry.StatusOK {
		return r
	}
	known, ok := b.live(name{c.Customer, c.Key})
	switch {
	case !ok:
		return entry.Result{Status: entry.StatusExpired, Detail: "the key has no record"}
	case !known.Holder.Equal(c.Holder) || known.Released:
		return entry.Result{Status: entry.StatusConflict, Detail: "the key has another holder"}
	case known.Outcome == nil:
		outcome := c.Outcome
		known.Outcome = &outcome
	}
	return entry.Result{Status: entry.StatusOK}
}

func (b *Book) release(c entry.Release) entry.Result {
	if r := b.check(c.Customer, c.Key, c.Holder); r.Status != entry.StatusOK {
		return r
	}
	known, ok := b.live(name{c.Customer, c.Key})
	switch {
	case !ok && b.expired(c.Customer, c.Key):
		return entry.Result{Status: entry.StatusExpired}
	case !ok:
		// The claim may still be on its way: it must not take the key when it comes.
		b.add(entry.ClaimRecord{
			Customer: c.Customer, Key: c.Key, Holder: c.Holder, Released: true, ExpiresAt: b.now.Add(keepUnused),
		})
	case !known.Holder.Equal(c.Holder):
		return entry.Result{Status: entry.StatusConflict, Detail: "the key has another holder"}
	case known.Outcome != nil:
		return entry.Result{Status: entry.StatusSettled, Outcome: known.Outcome}
	default:
		known.Released = true
	}
	return entry.Result{Status: entry.StatusOK}
}

// check refuses what no caller of the ledger sends in good order.
func (b *Book) check(customer string, key model.Key, holder entry.Holder) entry.Result {
	switch {
	case customer == "" || holder.IsZero():
		return invalid("the customer and the holder must be set")
	case key.IsZero():
		return invalid("the key must be set")
	case key.Time().Sub(b.now) > maxAhead:
		return invalid("the key's timestamp is more than " + maxAhead.String() + " ahead")
	}
	return entry.Result{Status: entry.StatusOK}
}

// live returns the record of a key whose retention has not ended.
func (b *Book) live(n name) (*record, bool) {
	r, ok := b.records[n]
	if !ok || b.now.After(r.ExpiresAt) {
		return nil, false
	}
	return r, true
}

// expired reports whether the retention of the key's record has ended, or the
// key is not after the newest one of the customer whose record was dropped.
// The second holds also after a contract's retention was raised.
func (b *Book) expired(customer string, key model.Key) bool {
	r, ok := b.records[name{customer, key}]
	if ok && !r.Released {
		return b.now.After(r.ExpiresAt)
	}
	floor, ok := b.records[name{customer: customer}]
	return ok && !key.Time().After(floor.Key.Time())
}

func (b *Book) add(c entry.ClaimRecord) {
	if b.records == nil {
		b.records = make(map[name]*record)
	}
	r := &record{ClaimRecord: c}
	if old, ok := b.records[r.name()]; ok {
		heap.Remove(&b.queue, old.index)
	}
	b.records[r.name()] = r
	heap.Push(&b.queue, r)
}

// drop forgets records whose retention has ended, oldest first. Dropping a key
// that may have run raises the floor to it.
func (b *Book) drop() {
	for range maxDrops {
		if len(b.queue) == 0 || !b.now.After(b.queue[0].ExpiresAt) {
			return
		}
		r := heap.Pop(&b.queue).(*record)
		delete(b.records, r.name())
		if !r.floor() && !r.Released {
			b.raise(r.Customer, r.Key)
		}
	}
}

// raise keeps a floor until every key below it is older than any retention.
func (b *Book) raise(customer string, key model.Key) {
	floor, ok := b.records[name{customer: customer}]
	if ok && !key.Time().After(floor.Key.Time()) {
		return
	}
	b.add(entry.ClaimRecord{Customer: customer, Key: key, ExpiresAt: key.Time().Add(model.MaxRetention)})
}

// Image returns every record and floor in the order in which they end.
func (b *Book) Image() []entry.ClaimRecord {
	sorted := slices.Clone(b.queue)
	slices.SortFunc(sorted, compare)
	image := make([]entry.ClaimRecord, len(sorted))
	for i, r := range sorted {
		image[i] = r.ClaimRecord
	}
	return image
}

// Restore replaces the ledger by an image taken at a log time. Neither the time
// nor a floor goes back.
func (b *Book) Restore(claims []entry.ClaimRecord, at time.Time) {
	before := b.records
	now := b.now
	if at.After(now) {
		now = at
	}
	*b = Book{now: now}
	for _, c := range claims {
		b.add(c)
	}
	for _, r := range before {
		if r.floor() {
			b.raise(r.Customer, r.Key)
		}
	}
}
