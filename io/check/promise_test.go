package check

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"comfreypulley/io/bench"
	"comfreypulley/io/stub"
)

// longWait is for requests that must all be answered, however busy the machine.
const longWait = 30 * time.Second

// background is a load that runs beside a test's faults.
type background struct {
	world   *world
	load    *bench.OpenLoop
	results []bench.Result
	ended   chan struct{}
}

func (w *world) begin(l *bench.OpenLoop) *background {
	b := &background{world: w, load: l, ended: make(chan struct{})}
	go b.run()
	return b
}

func (b *background) run() {
	defer close(b.ended)
	b.results = b.world.load(b.load)
}

// wait returns the results once every request has ended and every upstream is idle.
func (b *background) wait() []bench.Result {
	<-b.ended
	b.world.idle()
	return b.results
}

// Guards against answers that mix versions, or that count shards of one version
// against the total of another, while the index rolls and is repartitioned and
// upstreams now and then answer from another version or shard than asked.
func TestSingleSnapshotWhileVersionsChange(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{shards: 3, replicas: 2, vms: 2, coverage: 0.3, upstream: []string{"--wrong", "0.02"}})
	b := w.begin(&bench.OpenLoop{
		Rate: 100, Period: 4 * time.Second, Seed: 1, Callers: []bench.Caller{{Wait: time.Second, DistinctQueries: 20}},
	})
	for version := 2; version <= 5; version++ {
		shards := w.layout.shards
		if version >= 4 {
			shards = 2 // the repartition leaves the upstreams of the third shard without one
		}
		for replica := range w.layout.replicas {
			for _, u := range w.upstreams {
				if !strings.HasSuffix(u.id, fmt.Sprint("-", replica)) {
					continue
				}
				w.control(u, fmt.Sprintf(`{"holds":[{"index":%q,"version":%d,"shards":%d,"holds":[%d]}]}`, index, version, shards, u.shard%shards))
				<-time.After(50 * time.Millisecond) // the roll takes most of the load
			}
		}
	}
	results := b.wait()
	report := w.check(results)
	var snapshots []uint64
	for _, r := range results {
		if last := r.Last(); last.Status == http.StatusOK && !slices.Contains(snapshots, last.Answer.Snapshot) {
			snapshots = append(snapshots, last.Answer.Snapshot)
		}
	}
	if len(snapshots) < 2 || report.Complete == 0 {
		t.Errorf("answers of snapshots %v, %d of them whole; want several snapshots and whole answers", snapshots, report.Complete)
	}
}

// Guards against a query that keeps answers of a version that disappears while
// it runs, when it starts again at another version.
func TestSingleSnapshotWhenAVersionDisappears(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{
		shards: 3, replicas: 2, vms: 2, coverage: 0.3, upstream: []string{"--service", "30ms", "--spread", "1", "--slots", "20"},
	})
	b := w.begin(&bench.OpenLoop{
		Rate: 60, Period: 4 * time.Second, Seed: 11, Callers: []bench.Caller{{Wait: time.Second, DistinctQueries: 20}},
	})
	for version := 2; !closed(b.ended); version++ {
		for _, u := range w.upstreams {
			w.control(u, fmt.Sprintf(`{"holds":[{"index":%q,"version":%d,"shards":3,"holds":[%d]}]}`, index, version, u.shard))
		}
		// Longer than a query, so that many answers are whole as well.
		<-time.After(600 * time.Millisecond)
	}
	results := b.wait()
	report := w.check(results)
	if over := w.overtaken(results); report.Complete == 0 || over == 0 {
		t.Errorf("%d answers whole, %d of queries that had run at an older version; want some of each", report.Complete, over)
	}
}

// overtaken counts the answered queries that had finished runs at another
// version than that of their answer.
func (w *world) overtaken(results []bench.Result) (n int) {
	w.t.Helper()
	snapshots := make(map[string]uint64)
	for _, r := range results {
		if last := r.Last(); last.Status == http.StatusOK {
			snapshots[fmt.Sprintf("%s-%d", last.EntryVM, last.Answer.RequestID)] = last.Answer.Snapshot
		}
	}
	for _, log := range w.logs() {
		for _, run := range log.Runs {
			if snapshot, ok := snapshots[run.RequestID]; ok && run.Version != snapshot && run.End == "finished" {
				n++
			}
		}
	}
	return n
}

// Guards against an answer that claims shards whose upstreams are dead.
func TestTrueCoverageWithDeadUpstreams(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{shards: 3, replicas: 2, vms: 2, coverage: 0.3})
	b := w.begin(&bench.OpenLoop{
		Rate: 60, Period: 3 * time.Second, Seed: 2, Callers: []bench.Caller{{Wait: time.Second, DistinctQueries: 20}},
	})
	eventually(t, "runs of the first shard", func() bool { return len(w.log(w.upstreams[0]).Runs) > 3 })
	w.upstreams[0].kill()
	w.upstreams[1].kill()
	results := b.wait()
	report := w.check(results)
	for _, r := range results {
		c := r.Last().Answer.Coverage
		if r.Last().Status == http.StatusOK && c.Answered < c.Total && !slices.Equal(c.Missing, []int{0}) {
			t.Errorf("partial answer misses shards %v, want only the dead shard 0", c.Missing)
		}
	}
	if report.Complete == 0 || report.Partial == 0 {
		t.Errorf("%d whole and %d partial answers, want some of each", report.Complete, report.Partial)
	}
}

// Guards against an answer that reaches another request when upstream bytes
// come late, in pieces and out of order across connections, and when many
// requests have ended before their answers come.
func TestOwnAnswersUnderLateBytes(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{shards: 3, replicas: 2, vms: 2, coverage: 0.3, proxied: true})
	for _, u := range w.upstreams {
		w.rules(u, `{"skew":"20ms","up":{"jitter":"5ms"},"down":{"delay":"5ms","jitter":"60ms","pieces":5,"gap":"2ms"}}`)
	}
	results := w.load(&bench.OpenLoop{
		Rate: 150, Period: 3 * time.Second, Seed: 3,
		Callers: []bench.Caller{{Name: "a", Wait: 50 * time.Millisecond}, {Name: "b", Wait: time.Second}, {Name: "c", Wait: time.Second, MaxItems: 2}},
	})
	w.idle()
	if report := w.check(results); report.Complete == 0 || report.Complete == report.Queries {
		t.Errorf("%d of %d answers whole, want some whole and some cut off by their wait", report.Complete, report.Queries)
	}
}

// Guards against a refusal that says that a request was not run when it was:
// under overload, resets and refused connections.
func TestRefusedAsNotRunDidNotRun(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{
		shards: 2, replicas: 2, vms: 2, coverage: 1, proxied: true, concurrency: 8,
		upstream: []string{"--slots", "1", "--queue", "1", "--service", "20ms"},
	})
	b := w.begin(&bench.OpenLoop{
		Rate: 300, Period: 3 * time.Second, Seed: 4,
		Callers: []bench.Caller{{Name: "a", Wait: 50 * time.Millisecond}, {Name: "b", Wait: time.Second}},
	})
	for round := 0; !closed(b.ended); round++ {
		u := w.upstreams[round%len(w.upstreams)]
		w.post(u.rules, "/v1/reset", "")
		w.rules(u, fmt.Sprintf(`{"refuse":%t,"down":{"delay":"%dms"}}`, round%3 == 0, round%4*10))
		<-time.After(20 * time.Millisecond)
	}
	for _, u := range w.upstreams {
		w.rules(u, `{}`)
	}
	results := b.wait()
	w.check(results)
	counts := make(map[string]int)
	for _, r := range results {
		if r.Last().Status != http.StatusOK {
			counts[r.Last().Answer.Ran]++
		}
	}
	if counts["no"] == 0 {
		t.Errorf("refusals by ran: %v, want some that say no", counts)
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// drainGrace is how long a draining upstream may still get new work.
const drainGrace = 2 * time.Second

// Guards against new work for an upstream that is leaving.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	testDrain(t, newWorld(t, layout{shards: 2, replicas: 2, vms: 2, coverage: 1}))
}

// Guards against a report that is older than a refusal as drained and brings
// the upstream back into use.
func TestDrainingUpstreamWithLaggingReport(t *testing.T) {
	t.Parallel()
	testDrain(t, newWorld(t, layout{shards: 2, replicas: 2, vms: 2, coverage: 1, upstream: []string{"--lag", "1h"}}))
}

func testDrain(t *testing.T, w *world) {
	t.Helper()
	leaving := w.upstreams[0]
	callers := []bench.Caller{{Wait: longWait, DistinctQueries: 20}}
	before := w.load(&bench.OpenLoop{Rate: 100, Period: time.Second, Seed: 5, Callers: callers})
	if len(w.log(leaving).Runs) == 0 {
		t.Fatal("the upstream got no work before it drained")
	}
	w.control(leaving, `{"state":"drained"}`)
	// Long enough for every VM to see its refusals or reports.
	during := w.load(&bench.OpenLoop{Rate: 100, Period: drainGrace, Seed: 6, Callers: callers})
	attempts := w.log(leaving).Attempts
	after := w.load(&bench.OpenLoop{Rate: 100, Period: 2 * time.Second, Seed: 7, Callers: callers})
	w.idle()
	if got := w.log(leaving).Attempts; got != attempts {
		t.Errorf("%d attempts reached the draining upstream after the grace time, want none", got-attempts)
	}
	if report := w.check(slices.Concat(before, during, after)); report.Complete != report.Queries {
		t.Errorf("%d of %d answers whole, want all: the other replica holds the shard", report.Complete, report.Queries)
	}
}

// Guards against a graceful shutdown that cuts off requests in flight.
func TestTerminationCutsOffNothing(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{shards: 2, replicas: 2, vms: 2, coverage: 1, upstream: []string{"--service", "2s", "--slots", "20"}})
	leaving := w.vms[0]
	// All are sent long before the first of them can be answered.
	b := w.begin(&bench.OpenLoop{
		Rate: 1000, Period: 10 * time.Millisecond, Seed: 8, Callers: []bench.Caller{{Wait: longWait}},
	})
	eventually(t, "requests in flight", func() bool {
		n := 0
		for _, u := range w.upstreams {
			n += w.report(u).InFlight
		}
		return n >= 4
	})
	leaving.terminate()
	eventually(t, "the VM is not ready", func() bool {
		status, _, err := w.get(leaving.caller, "/ready")
		return err != nil || status == http.StatusServiceUnavailable
	})
	results := b.wait()
	if status := leaving.exit(); status != 0 {
		t.Errorf("exit status %d, want 0", status)
	}
	if _, ok := leaving.find("drained"); !ok {
		t.Error("the VM did not log that it had drained")
	}
	if report := w.check(results); report.Unanswered != 0 || report.Complete+report.Refused != report.Queries || report.Complete == 0 {
		t.Errorf("%d whole, %d refused and %d cut off of %d; want none cut off", report.Complete, report.Refused, report.Unanswered, report.Queries)
	}
}

// Guards against a killed VM that leaves wrong answers or stuck requests at the
// others.
func TestKilledVM(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{shards: 2, replicas: 2, vms: 3, coverage: 1})
	b := w.begin(&bench.OpenLoop{
		Rate: 100, Period: 3 * time.Second, Seed: 9, Callers: []bench.Caller{{Wait: longWait, DistinctQueries: 20, MaxResends: 3}},
	})
	eventually(t, "runs", func() bool { return len(w.log(w.upstreams[0]).Runs) > 3 })
	w.vms[0].kill()
	results := b.wait()
	if report := w.check(results); report.Complete != report.Queries {
		t.Errorf("%d of %d answers whole, want all: lost answers are sent again through other VMs", report.Complete, report.Queries)
	}
	w.startVM(w.vms[0])
	w.ready(w.vms[0])
	again := w.load(&bench.OpenLoop{Rate: 100, Period: time.Second, Seed: 10, Callers: []bench.Caller{{Wait: longWait}}})
	if report := w.check(again); report.Complete != report.Queries {
		t.Errorf("%d of %d answers whole after the restart, want all", report.Complete, report.Queries)
	}
}

// Guards against VMs that together open more connections than an upstream
// accepts, while a replica comes and goes.
func TestConnectionCapIsKept(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{shards: 2, replicas: 2, vms: 3, conns: 6, coverage: 1, upstream: []string{"--service", "10ms"}})
	callers := []bench.Caller{{Wait: time.Second, DistinctQueries: 20}}
	first := w.load(&bench.OpenLoop{Rate: 300, Period: time.Second, Seed: 12, Callers: callers})
	w.control(w.upstreams[0], `{"state":"cold"}`)
	second := w.load(&bench.OpenLoop{Rate: 300, Period: time.Second, Seed: 13, Callers: callers})
	w.control(w.upstreams[0], `{"state":"active"}`)
	third := w.load(&bench.OpenLoop{Rate: 300, Period: time.Second, Seed: 14, Callers: callers})
	w.idle()
	if report := w.check(slices.Concat(first, second, third)); report.Complete == 0 {
		t.Error("no answer is whole, so the connections were not in use")
	}
	for _, u := range w.upstreams {
		if n := w.log(u).RefusedConns; n > 0 {
			t.Errorf("%s reset %d connections above its cap of %d, want none", u.id, n, w.layout.conns)
		}
	}
}

// Guards against a request that crashes every upstream that runs it and is sent
// again through one VM after another: VMs must share what they find, in their
// zone and beyond it, and refuse it once it crashed two upstreams.
func TestCrashingRequestCrashesTwoUpstreamsAtMost(t *testing.T) {
	t.Parallel()
	const resends = 20
	w := newWorld(t, layout{shards: 2, replicas: 3, vms: 5, coverage: 1, upstream: []string{"--restart", "500ms"}})
	results := w.load(&bench.OpenLoop{
		Rate: 50, Period: 3 * time.Second, Seed: 15, Callers: []bench.Caller{
			{Name: "quiet", Wait: longWait, DistinctQueries: 20},
			{Name: "killer", Wait: time.Second, OnceAt: time.Second, CrashesUpstream: true, MaxResends: resends},
		},
	})
	w.idle()
	w.check(results)
	crashed := 0
	for _, log := range w.logs() {
		for _, run := range log.Runs {
			if run.End == stub.EndCrashed {
				crashed++
			}
		}
	}
	if crashed != 2 {
		t.Errorf("%d runs crashed their upstream, want 2: one does not tell a crashing request from its upstream's fault", crashed)
	}
	for _, r := range results {
		last := r.Last()
		switch {
		case r.Caller.Name == "quiet" && last.Status != http.StatusOK:
			t.Errorf("a harmless query was refused as %s", last.Answer.Reason)
		case r.Caller.Name == "killer" && (len(r.Sends) != resends+1 || last.Answer.Reason != "quarantine" || last.Answer.Ran != "no"):
			t.Errorf("the crashing request ended after %d sends as %q, ran %q; want %d sends and a quarantine, ran: no",
				len(r.Sends), last.Answer.Reason, last.Answer.Ran, resends+1)
		}
	}
}
