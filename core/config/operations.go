package config

import (
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// Bounds of the remembered results. 32,000 changes a day are about 1,300 an
// hour.
const (
	opPeriod = time.Hour
	maxOps   = 10_000
)

// operations remembers the first result of each operation id, by log time.
type operations struct {
	now  time.Time // highest log time
	byID map[model.OpID]entry.OpRecord
	ids  []model.OpID // oldest first
	gone int          // ids already forgotten at the front
}

// advance moves the log time and forgets what is too old.
func (o *operations) advance(at time.Time) {
	if at.After(o.now) {
		o.now = at
	}
	for o.gone < len(o.ids) {
		oldest := o.byID[o.ids[o.gone]]
		if len(o.byID) <= maxOps && o.now.Sub(oldest.At) <= opPeriod {
			break
		}
		delete(o.byID, oldest.ID)
		o.gone++
	}
	if o.gone > len(o.ids)/2 {
		o.ids = append([]model.OpID(nil), o.ids[o.gone:]...)
		o.gone = 0
	}
}

func (o *operations) find(id model.OpID) (entry.OpRecord, bool) {
	op, ok := o.byID[id]
	return op, ok
}

func (o *operations) add(op entry.OpRecord) {
	op.At = o.now
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
	for _, id := range o.ids[o.gone:] {
		ops = append(ops, o.byID[id])
	}
	return ops
}

func (o *operations) restore(ops []entry.OpRecord) {
	*o = operations{}
	for _, op := range ops {
		o.insert(op)
		o.now = op.At
	}
}
