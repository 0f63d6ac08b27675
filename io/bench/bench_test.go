package bench

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/stub"
)

const (
	testIndex  = "pairing"
	testShards = 3
)

// correctAnswer returns a correct result that covers all shards, and its runs.
func correctAnswer() (Result, []stub.Run) {
	r := Result{Caller: &Caller{Index: testIndex}, Query: []byte(`{"n":1}`)}
	a := Answer{RequestID: 7, Snapshot: 2, Ran: "yes", Coverage: Coverage{Answered: testShards, Total: testShards}}
	var runs []stub.Run
	for shard := range testShards {
		a.Items = append(a.Items, toItems(stub.ShardItems(testIndex, 2, testShards, shard, r.Query))...)
		runs = append(runs, stub.Run{
			ID: fmt.Sprint("u-", shard), RequestID: "vm-7", Index: testIndex, Version: 2, ShardCount: testShards, Shard: shard,
			End: stub.EndFinished,
		})
	}
	a.Items = sortedByRank(a.Items)
	r.Sends = []Send{{EntryVM: "vm", Status: http.StatusOK, Answer: a}}
	return r, runs
}

// Guards against a checker that accepts a wrong answer or rejects a correct one.
func TestCheckFindsEachFault(t *testing.T) {
	for _, c := range []struct {
		name   string
		modify func(r *Result, runs []stub.Run) []stub.Run
		want   Report
	}{
		{"true", func(_ *Result, runs []stub.Run) []stub.Run { return runs }, Report{}},
		{"true partial", func(r *Result, runs []stub.Run) []stub.Run {
			a := &r.Sends[0].Answer
			a.Items = filterItems(a.Items, func(i Item) bool { id, _ := parseItemID(i.ID); return id.shard != 1 })
			a.Coverage = Coverage{Answered: 2, Total: testShards, Missing: []int{1}}
			return runs
		}, Report{}},
		{"item of another query", func(r *Result, runs []stub.Run) []stub.Run {
			r.Sends[0].Answer.Items[0] = Item(stub.ShardItems(testIndex, 2, testShards, 0, []byte("other"))[0])
			return runs
		}, Report{ForeignItems: 1}},
		{"item of another version", func(r *Result, runs []stub.Run) []stub.Run {
			r.Sends[0].Answer.Items[0] = Item(stub.ShardItems(testIndex, 1, testShards, 0, r.Query)[0])
			return runs
		}, Report{MixedSnapshots: 1}},
		{"missing item", func(r *Result, runs []stub.Run) []stub.Run {
			r.Sends[0].Answer.Items = r.Sends[0].Answer.Items[1:]
			return runs
		}, Report{IncorrectAnswers: 1}},
		{"smaller total", func(_ *Result, runs []stub.Run) []stub.Run {
			for i := range runs {
				runs[i].ShardCount = testShards + 1
			}
			return runs
		}, Report{IncorrectAnswers: 1}},
		{"shard that was not run", func(_ *Result, runs []stub.Run) []stub.Run { return runs[1:] }, Report{IncorrectAnswers: 1}},
		{"shard that was cancelled", func(_ *Result, runs []stub.Run) []stub.Run {
			runs[0].End = stub.EndCancelled
			return runs
		}, Report{IncorrectAnswers: 1}},
		{"refused and run", func(r *Result, runs []stub.Run) []stub.Run {
			r.Sends[0].Status, r.Sends[0].Answer = http.StatusServiceUnavailable, Answer{RequestID: 7, Ran: "no"}
			return runs
		}, Report{FalseRefusals: 1}},
		{"refused as unknown and run", func(r *Result, runs []stub.Run) []stub.Run {
			r.Sends[0].Status, r.Sends[0].Answer = http.StatusServiceUnavailable, Answer{RequestID: 7, Ran: "unknown"}
			return runs
		}, Report{}},
		{"same id at another VM", func(r *Result, runs []stub.Run) []stub.Run {
			r.Sends[0] = Send{EntryVM: "vm2", Status: http.StatusServiceUnavailable, Answer: Answer{RequestID: 7, Ran: "no"}}
			return runs
		}, Report{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, runs := correctAnswer()
			runs = c.modify(&r, runs)
			var got Report
			NewChecker([]stub.RunLog{{Runs: runs}}).Check(&got, []Result{r})
			if got.MixedSnapshots != c.want.MixedSnapshots || got.ForeignItems != c.want.ForeignItems ||
				got.IncorrectAnswers != c.want.IncorrectAnswers || got.FalseRefusals != c.want.FalseRefusals {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// filterItems returns the items that match a condition.
func filterItems(items []Item, matches func(Item) bool) []Item {
	var list []Item
	for _, i := range items {
		if matches(i) {
			list = append(list, i)
		}
	}
	return list
}

// Guards against a checker that misses a lost or repeated run, or that counts a
// run twice because it is in two copies of a log.
func TestCheckRuns(t *testing.T) {
	key := model.NewKey(time.Unix(1, 0), [10]byte{1})
	query := []byte(`{"n":1}`)
	run := stub.Run{
		ID: "u-0", RequestID: "vm-7", IdempotencyKey: key.String(), Index: testIndex, Version: 2, ShardCount: 1, End: stub.EndFinished,
	}
	again := run
	again.ID, again.RequestID = "w-0", "vm2-1"
	items := toItems(stub.ShardItems(testIndex, 2, 1, 0, query))
	result := Result{Caller: &Caller{Index: testIndex, NonIdempotent: true}, Query: query, Key: key, Sends: []Send{
		{}, {EntryVM: "vm2", Status: http.StatusOK, Answer: Answer{
			RequestID: 1, Snapshot: 2, Items: items, Coverage: Coverage{Answered: 1, Total: 1},
		}},
	}}
	for _, c := range []struct {
		name          string
		logs          []stub.RunLog
		doubled, lost int
	}{
		{"once", []stub.RunLog{{Runs: []stub.Run{run}}}, 0, 0},
		{"two copies", []stub.RunLog{{Runs: []stub.Run{run}}, {Runs: []stub.Run{run}}}, 0, 0},
		{"twice", []stub.RunLog{{Runs: []stub.Run{run}}, {Runs: []stub.Run{again}}}, 1, 0},
		{"never", nil, 0, 1},
	} {
		var got Report
		NewChecker(c.logs).Check(&got, []Result{result})
		if got.DuplicateRuns != c.doubled || got.LostRuns != c.lost || got.Confirmed != 1 || got.ForeignItems != 0 {
			t.Errorf("%s: got %+v, want doubled %d, lost %d, confirmed 1", c.name, got, c.doubled, c.lost)
		}
	}
}

// barrier is an HTTP handler that answers no request before all have arrived.
type barrier struct {
	mu   sync.Mutex
	left int           // requests that have not arrived
	open chan struct{} // closed when all have
}

func (b *barrier) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	b.left--
	if b.left == 0 {
		close(b.open)
	}
	b.mu.Unlock()
	<-b.open
	fmt.Fprint(w, `{"coverage":{"answered":1,"total":1}}`)
}

// Guards against coordinated omission: a load that waits for answers before it
// sends further requests. Such a load would never end here.
func TestLoadIsOpen(t *testing.T) {
	l := &OpenLoop{Callers: []Caller{{Index: testIndex, Wait: time.Minute}}, Rate: 1000, Period: 100 * time.Millisecond, Seed: 1}
	planned := len(l.plan())
	b := &barrier{left: planned, open: make(chan struct{})}
	server := httptest.NewServer(b)
	defer server.Close()
	l.Targets = []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}
	results, err := l.Run(t.Context())
	if err != nil || len(results) != planned {
		t.Fatalf("got %d results and %v, want the %d planned", len(results), err, planned)
	}
	// The first request is answered after the last one was sent.
	if first, last := results[0], results[planned-1]; first.Latency < last.PlannedAt-first.PlannedAt {
		t.Errorf("first request took %v, want at least the %v until the last was sent", first.Latency, last.PlannedAt-first.PlannedAt)
	}
}

// Guards against a load that differs between two runs with the same seed. The
// results of the baseline and of the full policy would then not be comparable.
func TestPlanIsSeeded(t *testing.T) {
	plan := func(seed uint64) string {
		l := &OpenLoop{
			Callers: []Caller{
				{Name: "a", Weight: 2, DistinctQueries: 9}, {Name: "b", NonIdempotent: true}, {Name: "c", OnceAt: time.Second, CrashesUpstream: true},
			},
			Rate: 50, Period: 2 * time.Second, Seed: seed,
		}
		l.Targets = make([]netip.AddrPort, 3)
		var text strings.Builder
		for _, s := range l.plan() {
			fmt.Fprintln(&text, s.result.PlannedAt, s.firstTarget, s.keyBytes, string(s.result.Query))
		}
		return text.String()
	}
	first := plan(1)
	if again := plan(1); again != first {
		t.Error("two plans of the same seed differ")
	}
	if other := plan(2); other == first {
		t.Error("plans of different seeds are the same")
	}
}
