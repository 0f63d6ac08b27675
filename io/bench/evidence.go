package bench

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"comfreypulley/io/stub"
)

// Evidence is what the stand-ins themselves say of a load: their run logs and,
// through stub.ShardItems, their contents. Make it with NewEvidence.
type Evidence struct {
	attempts int
	requests map[string][]stub.Run // by the request that the run was for
	keys     map[string][]stub.Run // by idempotency key
	totals   map[snapshot]int      // shards of each snapshot
}

type snapshot struct {
	index   string
	version uint64
}

// NewEvidence gathers the logs of all stand-ins, taken after the load. A run
// that appears twice, as in two copies of a log, counts once.
func NewEvidence(logs []stub.RunLog) *Evidence {
	e := &Evidence{
		requests: make(map[string][]stub.Run), keys: make(map[string][]stub.Run), totals: make(map[snapshot]int),
	}
	seen := make(map[string]bool)
	for _, log := range logs {
		e.attempts += log.Attempts
		for _, r := range log.Runs {
			if seen[r.ID] {
				continue
			}
			seen[r.ID] = true
			e.requests[r.RequestID] = append(e.requests[r.RequestID], r)
			if r.IdempotencyKey != "" {
				e.keys[r.IdempotencyKey] = append(e.keys[r.IdempotencyKey], r)
			}
			key := snapshot{r.Index, r.Version}
			e.totals[key] = max(e.totals[key], r.ShardCount)
		}
	}
	return e
}

// Check compares results with the evidence and fills in the faults and the
// extra load of the report.
func (e *Evidence) Check(report *Report, results []Result) {
	needed := 0
	for i := range results {
		needed += e.checkResult(report, &results[i])
	}
	// Runs of keys are compared over the whole log: an idempotency key is
	// never used by two requests.
	for key, runs := range e.keys {
		for range len(runs) - 1 {
			report.fault(&report.Doubled, fmt.Sprintf("key %s ran %d times", key, len(runs)))
		}
	}
	if needed > 0 {
		report.Extra = float64(e.attempts) / float64(needed)
	}
}

// checkResult checks all sends of a request and returns the attempts it needed.
func (e *Evidence) checkResult(report *Report, r *Result) (needed int) {
	confirmed := false
	for i := range r.Tries {
		t := &r.Tries[i]
		switch {
		case t.Status == 0:
		case t.Status != http.StatusOK:
			if runs := e.requests[t.request()]; t.Answer.Ran == "no" && len(runs) > 0 {
				report.fault(&report.FalseRefusals, fmt.Sprintf("request %s was refused as not run and ran as %s", t.request(), runs[0].ID))
			}
		case r.Caller.Run:
			confirmed, needed = true, 1
			e.checkRun(report, r, t)
		default:
			needed = t.Answer.Coverage.Total
			e.checkQuery(report, r, t)
		}
	}
	if confirmed {
		report.Confirmed++
	}
	return needed
}

// request returns the id under which upstreams saw the send.
func (t *Try) request() string {
	return fmt.Sprintf("%s-%d", t.Origin, t.Answer.Request)
}

// checkRun checks a confirmed non-idempotent request.
func (e *Evidence) checkRun(report *Report, r *Result, t *Try) {
	runs := e.keys[r.Key.String()]
	if !slices.ContainsFunc(runs, func(run stub.Run) bool { return run.End == stub.EndFinished }) {
		report.fault(&report.Lost, fmt.Sprintf("key %s was confirmed and is in no run log", r.Key))
		return
	}
	run := runs[0]
	want := itemsOf(stub.ShardItems(run.Index, run.Version, run.ShardCount, run.Shard, r.Query))
	if run.Version != t.Answer.Snapshot || !slices.Equal(sorted(t.Answer.Items), sorted(want)) {
		report.fault(&report.Crossed, fmt.Sprintf("request %s has not the items of run %s", t.request(), run.ID))
	}
}

// checkQuery computes the answer of a query again.
func (e *Evidence) checkQuery(report *Report, r *Result, t *Try) {
	a := &t.Answer
	for _, item := range a.Items {
		id, ok := parseItem(item.ID)
		switch {
		case !ok || id.index != r.Caller.Index || !id.holds(item, r.Query):
			report.fault(&report.Crossed, fmt.Sprintf("request %s has item %s of another request", t.request(), item.ID))
			return
		case id.version != a.Snapshot || id.total != a.Coverage.Total:
			report.fault(&report.Mixed, fmt.Sprintf("request %s of snapshot %d has item %s", t.request(), a.Snapshot, item.ID))
			return
		}
	}
	if text := e.untrue(r, t); text != "" {
		report.fault(&report.Untrue, fmt.Sprintf("request %s: %s", t.request(), text))
	}
}

// untrue says in which way the coverage of an answer is not true.
func (e *Evidence) untrue(r *Result, t *Try) string {
	a := &t.Answer
	if total := e.totals[snapshot{r.Caller.Index, a.Snapshot}]; a.Coverage.Total != total {
		return fmt.Sprintf("coverage is of %d shards, snapshot %d has %d", a.Coverage.Total, a.Snapshot, total)
	}
	if a.Coverage.Answered+len(a.Coverage.Missing) != a.Coverage.Total {
		return fmt.Sprintf("%d answered and %d missing shards of %d", a.Coverage.Answered, len(a.Coverage.Missing), a.Coverage.Total)
	}
	finished := make(map[int]bool)
	for _, run := range e.requests[t.request()] {
		if run.Version == a.Snapshot && run.End == stub.EndFinished {
			finished[run.Shard] = true
		}
	}
	var want []Item
	answered := 0
	for shard := range a.Coverage.Total {
		if slices.Contains(a.Coverage.Missing, shard) {
			continue
		}
		answered++
		if !finished[shard] {
			return fmt.Sprintf("shard %d was not run for it", shard)
		}
		want = append(want, itemsOf(stub.ShardItems(r.Caller.Index, a.Snapshot, a.Coverage.Total, shard, r.Query))...)
	}
	if answered != a.Coverage.Answered {
		return fmt.Sprintf("states %d shards, has %d", a.Coverage.Answered, answered)
	}
	want = sorted(want)
	if r.Caller.Limit > 0 && len(want) > r.Caller.Limit {
		want = want[:r.Caller.Limit]
	}
	if !slices.Equal(a.Items, want) {
		return fmt.Sprintf("has %d items, its shards have %d", len(a.Items), len(want))
	}
	return ""
}

func itemsOf(content []stub.Item) []Item {
	items := make([]Item, len(content))
	for i, c := range content {
		items[i] = Item(c)
	}
	return items
}

// sorted returns items by rank, highest first and ties by id.
func sorted(items []Item) []Item {
	return slices.SortedFunc(slices.Values(items), func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.ID, b.ID))
	})
}
