package config

import (
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// Bounds of the stored results. The expected 32,000 changes a day are about
// 1,300 an hour.
const (
	opRetention = time.Hour
	maxOps      = 10_000
)

// operations stores the first result of each operation id, so that a resent
// change returns the same result. Ages refer to the times of log entries.
type operations struct {
	logTime time.Time // highest time of a log entry
	byID    map[model.OpID]entry.OpRecord
	ids     []model.OpID // oldest first
	expired int          // number of ids at the front of ids that are no longer in byID
}

// expire advances the log time and drops the results that are too old or too
// many.
func (o *operations) expire(at time.Time) {
	if at.After(o.logTime) {
		o.logTime = at
	}
	for o.expired < len(o.ids) {
		oldest := o.byID[o.ids[o.expired]]
		if len(o.byID) <= maxOps && o.logTime.Sub(oldest.At) <= opRetention {
			break
		}
		delete(o.byID, oldest.ID)
		o.expired++
	}
	if o.expired > len(o.ids)/2 {
		o.ids = append([]model.OpID(nil), o.ids[o.expired:]...)
		o.expired = 0
	}
}

func (o *operations) find(id model.OpID) (entry.OpRecord, bool) {
	op, ok := o.byID[id]
	return op, ok
}

func (o *operations) add(op entry.OpRecord) {
	op.At = o.logTime
	o.insert(op)
}

func (o *operations) insert(op entry.OpRecord) {
	if o.byID == nil {
		o.byID = make(map[model.OpID]entry.OpRecord)
	}
	o.byID[op.ID] = op
	o.ids = append(o.ids, op.ID)
}

func (o *operations) image() []entry.OpRecord {
	ops := make([]entry.OpRecord, 0, len(o.byID))
	for _, id := range o.ids[o.expired:] {
		ops = append(ops, o.byID[id])
	}
	return ops
}

func (o *operations) restore(ops []entry.OpRecord) {
	*o = operations{}
	for _, op := range ops {
		o.insert(op)
		o.logTime = op.At
	}
}
