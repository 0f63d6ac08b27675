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

// consistencyChecker records the results that callers and operators of a tier got,
// the requests that upstreams ran, and the configurations in force. It checks that
// they are consistent.
type consistencyChecker struct {
	t          *testing.T
	requests   map[model.RequestID]*callerRequest
	runs       map[model.Key]int
	commands   map[uint64]entry.Change // by sequence number
	sendCounts map[model.OpID]int
	results    map[model.OpID][]entry.Result
	configs    map[model.Revision]map[string]model.Contract // in force anywhere, by revision
}

// callerRequest is one request of a caller.
type callerRequest struct {
	key     model.Key
	vm      model.VMID
	boot    int
	ran     bool
	answers int
	notRun  bool // refused with "ran: no"
}

func newConsistencyChecker(t *testing.T) *consistencyChecker {
	return &consistencyChecker{
		t: t, requests: make(map[model.RequestID]*callerRequest), runs: make(map[model.Key]int),
		commands: make(map[uint64]entry.Change), sendCounts: make(map[model.OpID]int), results: make(map[model.OpID][]entry.Result),
		configs: make(map[model.Revision]map[string]model.Contract),
	}
}

func (r *consistencyChecker) recordRequest(q event.QueryRequest, vm model.VMID, boot int) {
	r.requests[q.ID] = &callerRequest{key: q.Key, vm: vm, boot: boot}
}

// recordRun records that an upstream ran an attempt.
func (r *consistencyChecker) recordRun(s effect.Send) {
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

func (r *consistencyChecker) recordAnswer(a model.Answer) {
	q := r.countAnswer(a.Request)
	if !q.key.IsZero() && r.runs[q.key] == 0 {
		r.t.Fatalf("request %d was answered, but its key never ran", a.Request)
	}
}

func (r *consistencyChecker) recordRefusal(refusal model.Refusal) {
	q := r.countAnswer(refusal.Request)
	if refusal.Ran != model.RanNo {
		return
	}
	if q.notRun = true; q.ran {
		r.t.Fatalf("request %d ran and was refused as %s, ran: no", refusal.Request, refusal.Reason)
	}
}

func (r *consistencyChecker) countAnswer(id model.RequestID) *callerRequest {
	q := r.requests[id]
	if q.answers++; q.answers > 1 {
		r.t.Fatalf("request %d got %d answers", id, q.answers)
	}
	return q
}

func (r *consistencyChecker) recordCommand(n uint64, c entry.Change) {
	r.commands[n] = c
	r.sendCounts[c.Op]++
}

func (r *consistencyChecker) recordResult(e effect.AnswerOperator) {
	if e.Status != nil {
		return
	}
	op := r.commands[e.Seq].Op
	r.results[op] = append(r.results[op], e.Result)
}

// recordConfig records the configuration that a VM serves. It must equal the one
// that other VMs serve at the same revision.
func (r *consistencyChecker) recordConfig(vm model.VMID, t *model.Topology) {
	known, ok := r.configs[t.Revision]
	if !ok {
		r.configs[t.Revision] = maps.Clone(t.Contracts)
		return
	}
	for customer, c := range t.Contracts {
		if k := known[customer]; k.Revision != c.Revision || k.Classes[0].Price != c.Classes[0].Price {
			r.t.Fatalf("%s has another contract of %s at revision %d than another VM", vm, customer, t.Revision)
		}
	}
}

// checkChanges compares the results that operators got with the configurations
// that were in force.
func (r *consistencyChecker) checkChanges() {
	changes := make(map[model.OpID]entry.Change)
	for _, c := range r.commands {
		changes[c.Op] = c
	}
	accepted := make(map[string]model.OpID)
	for _, op := range slices.Sorted(maps.Keys(r.results)) {
		c := changes[op]
		var decided *entry.Result
		for i := range r.results[op] {
			result := &r.results[op][i]
			if !result.Status.Applied() {
				continue
			}
			if decided != nil && (decided.Status != result.Status || decided.Revision != result.Revision) {
				r.t.Errorf("change %s got result %v at %d and %v at %d", op, decided.Status, decided.Revision, result.Status, result.Revision)
			}
			decided = result
		}
		if decided != nil && decided.Status == entry.StatusOK {
			target := fmt.Sprint(objectName(c), " after ", c.ExpectedRevision)
			// A removed VM may be added again, so that several changes with expected
			// revision 0 can be accepted.
			if other, taken := accepted[target]; taken && c.ExpectedRevision != 0 {
				r.t.Errorf("changes %s and %s of %s were both accepted", other, op, target)
			}
			accepted[target] = op
			if c.Contract != nil {
				r.checkKept(op, c, decided.Revision)
			}
		}
		if c.Contract == nil {
			continue
		}
		if last := r.results[op][0].Status; r.sendCounts[op] == 1 && !last.Applied() && last != entry.StatusUnknown {
			r.checkAbsent(op, c, last)
		}
	}
}

// objectName names the object of a change.
func objectName(c entry.Change) string {
	switch {
	case c.Contract != nil:
		return "contract " + c.Contract.Customer
	case c.VM != nil:
		return "vm " + string(c.VM.ID)
	default:
		return "vm " + string(c.Remove.VM)
	}
}

// checkKept checks that an accepted change is part of every later configuration,
// unless a later change of the same contract replaced it.
func (r *consistencyChecker) checkKept(op model.OpID, c entry.Change, at model.Revision) {
	for revision, contracts := range r.configs {
		found := contracts[c.Contract.Customer]
		if revision < at || found.Revision > at {
			continue
		}
		if found.Revision < at || found.Classes[0].Price != c.Contract.Classes[0].Price {
			r.t.Errorf("change %s, accepted at revision %d, is missing at revision %d", op, at, revision)
		}
	}
}

// checkAbsent checks that a change was never in force after its result stated that
// it was not appended to the log.
func (r *consistencyChecker) checkAbsent(op model.OpID, c entry.Change, result entry.Status) {
	for revision, contracts := range r.configs {
		if contracts[c.Contract.Customer].Classes[0].Price == c.Contract.Classes[0].Price {
			r.t.Errorf("change %s was refused as %v and is in force at revision %d", op, result, revision)
		}
	}
}
