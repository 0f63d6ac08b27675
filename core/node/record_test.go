package node_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// record is what callers and operators of a tier were told, what upstreams ran
// and which configurations were in force. It checks that they agree.
type record struct {
	t        *testing.T
	requests map[model.RequestID]*asked
	runs     map[model.Key]int
	sent     map[uint64]entry.Change // commands by number
	sends    map[model.OpID]int
	results  map[model.OpID][]entry.Result
	history  map[model.Revision]map[string]model.Contract // in force anywhere, by revision
}

// asked is one request of a caller.
type asked struct {
	key     model.Key
	vm      model.VMID
	boot    int
	ran     bool
	answers int
	notRun  bool // refused as not run
}

func newRecord(t *testing.T) *record {
	return &record{
		t: t, requests: make(map[model.RequestID]*asked), runs: make(map[model.Key]int),
		sent: make(map[uint64]entry.Change), sends: make(map[model.OpID]int), results: make(map[model.OpID][]entry.Result),
		history: make(map[model.Revision]map[string]model.Contract),
	}
}

func (r *record) requested(q event.QueryRequest, vm model.VMID, boot int) {
	r.requests[q.ID] = &asked{key: q.Key, vm: vm, boot: boot}
}

// ran notes that an upstream ran an attempt.
func (r *record) ran(s effect.Send) {
	q := r.requests[s.Request]
	q.ran = true
	if q.notRun {
		r.t.Fatalf("request %d ran after it was refused as not run", s.Request)
	}
	if s.Key.IsZero() {
		return
	}
	if r.runs[s.Key]++; r.runs[s.Key] > 1 {
		r.t.Fatalf("key %v ran twice, the second time for request %d on %s", s.Key, s.Request, q.vm)
	}
}

func (r *record) replied(a model.Answer) {
	q := r.answered(a.Request)
	if !q.key.IsZero() && r.runs[q.key] == 0 {
		r.t.Fatalf("request %d was answered, but its key never ran", a.Request)
	}
}

func (r *record) refused(j model.Rejection) {
	q := r.answered(j.Request)
	if j.Ran != model.RanNo {
		return
	}
	if q.notRun = true; q.ran {
		r.t.Fatalf("request %d ran and was refused as %s, ran: no", j.Request, j.Reason)
	}
}

func (r *record) answered(id model.RequestID) *asked {
	q := r.requests[id]
	if q.answers++; q.answers > 1 {
		r.t.Fatalf("request %d got %d answers", id, q.answers)
	}
	return q
}

func (r *record) commanded(n uint64, c entry.Change) {
	r.sent[n] = c
	r.sends[c.Op]++
}

func (r *record) responded(e effect.AnswerOperator) {
	if e.Status != nil {
		return
	}
	op := r.sent[e.Seq].Op
	r.results[op] = append(r.results[op], e.Result)
}

// inForce notes a configuration. The same revision must be the same everywhere.
func (r *record) inForce(vm model.VMID, t *model.Topology) {
	known, ok := r.history[t.Revision]
	if !ok {
		r.history[t.Revision] = maps.Clone(t.Contracts)
		return
	}
	for customer, c := range t.Contracts {
		if k := known[customer]; k.Revision != c.Revision || k.Classes[0].Price != c.Classes[0].Price {
			r.t.Fatalf("%s has another contract of %s at revision %d than another VM", vm, customer, t.Revision)
		}
	}
}

// check compares what operators were told with what was in force.
func (r *record) check() {
	changes := make(map[model.OpID]entry.Change)
	for _, c := range r.sent {
		changes[c.Op] = c
	}
	winners := make(map[string]model.OpID)
	for _, op := range slices.Sorted(maps.Keys(r.results)) {
		c := changes[op]
		var decided *entry.Result
		for i := range r.results[op] {
			result := &r.results[op][i]
			if !result.Status.Applied() {
				continue
			}
			if decided != nil && (decided.Status != result.Status || decided.Revision != result.Revision) {
				r.t.Errorf("change %s was told %v at %d and %v at %d", op, decided.Status, decided.Revision, result.Status, result.Revision)
			}
			decided = result
		}
		if decided != nil && decided.Status == entry.StatusOK {
			place := fmt.Sprint(object(c), " after ", c.ExpectedRevision)
			// A VM that was removed may be added again, so that 0 has many winners.
			if other, taken := winners[place]; taken && c.ExpectedRevision != 0 {
				r.t.Errorf("changes %s and %s of %s both won", other, op, place)
			}
			winners[place] = op
			if c.Contract != nil {
				r.kept(op, c, decided.Revision)
			}
		}
		if c.Contract == nil {
			continue
		}
		if last := r.results[op][0].Status; r.sends[op] == 1 && !last.Applied() && last != entry.StatusUnknown {
			r.absent(op, c, last)
		}
	}
}

// object names what a change is about.
func object(c entry.Change) string {
	switch {
	case c.Contract != nil:
		return "contract " + c.Contract.Customer
	case c.VM != nil:
		return "vm " + string(c.VM.ID)
	default:
		return "vm " + string(c.Remove.VM)
	}
}

// kept checks that an accepted change is in every later configuration, unless
// a later change of the same contract replaced it.
func (r *record) kept(op model.OpID, c entry.Change, at model.Revision) {
	for revision, contracts := range r.history {
		found := contracts[c.Contract.Customer]
		if revision < at || found.Revision > at {
			continue
		}
		if found.Revision < at || found.Classes[0].Price != c.Contract.Classes[0].Price {
			r.t.Errorf("change %s, accepted at revision %d, is missing at revision %d", op, at, revision)
		}
	}
}

// absent checks that a change that was refused as not appended never was in
// force.
func (r *record) absent(op model.OpID, c entry.Change, told entry.Status) {
	for revision, contracts := range r.history {
		if contracts[c.Contract.Customer].Classes[0].Price == c.Contract.Classes[0].Price {
			r.t.Errorf("change %s was refused as %v and is in force at revision %d", op, told, revision)
		}
	}
}
