package bench

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"comfreypulley/io/stub"
)

// Checker checks the results of a load against the run logs of the stubs and the
// items that stub.ShardItems computes. It is created by NewChecker.
type Checker struct {
	attempts      int                   // shard requests that reached the stubs
	runsByRequest map[string][]stub.Run // by the id of the request as upstreams see it
	runsByKey     map[string][]stub.Run // by idempotency key
	shardCounts   map[snapshot]int
}

type snapshot struct {
	index   string
	version uint64
}

// NewChecker makes a Checker from the run logs of all stubs, as they are after
// the load. A run that appears twice, such as in two copies of a log, counts
// once.
func NewChecker(logs []stub.RunLog) *Checker {
	c := &Checker{
		runsByRequest: make(map[string][]stub.Run), runsByKey: make(map[string][]stub.Run), shardCounts: make(map[snapshot]int),
	}
	seen := make(map[string]bool)
	for _, log := range logs {
		c.attempts += log.Attempts
		for _, r := range log.Runs {
			if seen[r.ID] {
				continue
			}
			seen[r.ID] = true
			c.runsByRequest[r.RequestID] = append(c.runsByRequest[r.RequestID], r)
			if r.IdempotencyKey != "" {
				c.runsByKey[r.IdempotencyKey] = append(c.runsByKey[r.IdempotencyKey], r)
			}
			key := snapshot{r.Index, r.Version}
			c.shardCounts[key] = max(c.shardCounts[key], r.ShardCount)
		}
	}
	return c
}

// Check checks the results and fills in the faults and the ratio of sent to needed
// attempts in the report.
func (c *Checker) Check(report *Report, results []Result) {
	needed := 0
	for i := range results {
		needed += c.checkResult(report, &results[i])
	}
	// Each idempotency key belongs to one request, so any second run of a key
	// is a duplicate.
	for key, runs := range c.runsByKey {
		for range len(runs) - 1 {
			report.addFault(&report.DuplicateRuns, fmt.Sprintf("key %s ran %d times", key, len(runs)))
		}
	}
	if needed > 0 {
		report.AttemptRatio = float64(c.attempts) / float64(needed)
	}
}

// checkResult checks all sends of a request. It returns the number of attempts on
// upstreams that were necessary for it.
func (c *Checker) checkResult(report *Report, r *Result) (needed int) {
	confirmed := false
	for i := range r.Sends {
		s := &r.Sends[i]
		switch {
		case s.Status == 0:
		case s.Status != http.StatusOK:
			if runs := c.runsByRequest[s.requestID()]; s.Answer.Ran == "no" && len(runs) > 0 {
				report.addFault(&report.FalseRefusals, fmt.Sprintf("request %s was refused as not run and ran as %s", s.requestID(), runs[0].ID))
			}
		case r.Caller.NonIdempotent:
			confirmed, needed = true, 1
			c.checkRun(report, r, s)
		default:
			needed = s.Answer.Coverage.Total
			c.checkQuery(report, r, s)
		}
	}
	if confirmed {
		report.Confirmed++
	}
	return needed
}

// requestID returns the id of the request as upstreams see it.
func (s *Send) requestID() string {
	return fmt.Sprintf("%s-%d", s.EntryVM, s.Answer.RequestID)
}

// checkRun checks a non-idempotent request that was answered.
func (c *Checker) checkRun(report *Report, r *Result, s *Send) {
	runs := c.runsByKey[r.Key.String()]
	if !slices.ContainsFunc(runs, func(run stub.Run) bool { return run.End == stub.EndFinished }) {
		report.addFault(&report.LostRuns, fmt.Sprintf("key %s was confirmed and is in no run log", r.Key))
		return
	}
	run := runs[0]
	want := toItems(stub.ShardItems(run.Index, run.Version, run.ShardCount, run.Shard, r.Query))
	if run.Version != s.Answer.Snapshot || !slices.Equal(sortedByRank(s.Answer.Items), sortedByRank(want)) {
		report.addFault(&report.ForeignItems, fmt.Sprintf("request %s has not the items of run %s", s.requestID(), run.ID))
	}
}

// checkQuery compares the answer to a query with the computed one.
func (c *Checker) checkQuery(report *Report, r *Result, s *Send) {
	a := &s.Answer
	for _, item := range a.Items {
		id, ok := parseItemID(item.ID)
		switch {
		case !ok || id.index != r.Caller.Index || !id.matches(item, r.Query):
			report.addFault(&report.ForeignItems, fmt.Sprintf("request %s has item %s of another request", s.requestID(), item.ID))
			return
		case id.version != a.Snapshot || id.shardCount != a.Coverage.Total:
			report.addFault(&report.MixedSnapshots, fmt.Sprintf("request %s of snapshot %d has item %s", s.requestID(), a.Snapshot, item.ID))
			return
		}
	}
	if problem := c.problem(r, s); problem != "" {
		report.addFault(&report.IncorrectAnswers, fmt.Sprintf("request %s: %s", s.requestID(), problem))
	}
}

// problem describes the first error in the coverage or the items of an answer. It
// returns "" when there is none.
func (c *Checker) problem(r *Result, s *Send) string {
	a := &s.Answer
	if total := c.shardCounts[snapshot{r.Caller.Index, a.Snapshot}]; a.Coverage.Total != total {
		return fmt.Sprintf("coverage is of %d shards, snapshot %d has %d", a.Coverage.Total, a.Snapshot, total)
	}
	if a.Coverage.Answered+len(a.Coverage.Missing) != a.Coverage.Total {
		return fmt.Sprintf("%d answered and %d missing shards of %d", a.Coverage.Answered, len(a.Coverage.Missing), a.Coverage.Total)
	}
	finished := make(map[int]bool)
	for _, run := range c.runsByRequest[s.requestID()] {
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
		want = append(want, toItems(stub.ShardItems(r.Caller.Index, a.Snapshot, a.Coverage.Total, shard, r.Query))...)
	}
	if answered != a.Coverage.Answered {
		return fmt.Sprintf("states %d shards, has %d", a.Coverage.Answered, answered)
	}
	want = sortedByRank(want)
	if r.Caller.MaxItems > 0 && len(want) > r.Caller.MaxItems {
		want = want[:r.Caller.MaxItems]
	}
	if !slices.Equal(a.Items, want) {
		return fmt.Sprintf("has %d items, its shards have %d", len(a.Items), len(want))
	}
	return ""
}

func toItems(content []stub.Item) []Item {
	items := make([]Item, len(content))
	for i, c := range content {
		items[i] = Item(c)
	}
	return items
}

// sortedByRank returns the items by descending rank. Ties are ordered by id.
func sortedByRank(items []Item) []Item {
	return slices.SortedFunc(slices.Values(items), func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.ID, b.ID))
	})
}
