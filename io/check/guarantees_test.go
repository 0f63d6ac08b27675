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

// longWait is the wait of requests that must be answered even on a busy machine.
const longWait = 30 * time.Second

// backgroundLoad is a load that runs while a test injects faults.
type backgroundLoad struct {
	fleet   *fleet
	load    *bench.OpenLoop
	results []bench.Result
	ended   chan struct{}
}

// startLoad starts a load in the background.
func (f *fleet) startLoad(l *bench.OpenLoop) *backgroundLoad {
	b := &backgroundLoad{fleet: f, load: l, ended: make(chan struct{})}
	go b.run()
	return b
}

func (b *backgroundLoad) run() {
	defer close(b.ended)
	b.results = b.fleet.runLoad(b.load)
}

// wait returns the results once every request has ended and every upstream is idle.
func (b *backgroundLoad) wait() []bench.Result {
	<-b.ended
	b.fleet.waitIdle()
	return b.results
}

// Guards against answers that mix index versions, or that count shards of one
// version against the total of another. Meanwhile the upstreams change one by one
// to new versions, the number of shards changes, and upstreams at times answer from
// another version or shard than requested.
func TestSingleSnapshotWhileVersionsChange(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{shards: 3, replicas: 2, vms: 2, coverage: 0.3, upstreamFlags: []string{"--wrong", "0.02"}})
	b := f.startLoad(&bench.OpenLoop{
		Rate: 100, Period: 4 * time.Second, Seed: 1, Callers: []bench.Caller{{Wait: time.Second, DistinctQueries: 20}},
	})
	for version := 2; version <= 5; version++ {
		shards := f.layout.shards
		if version >= 4 {
			shards = 2 // the upstreams of the third shard move to another one
		}
		for replica := range f.layout.replicas {
			for _, u := range f.upstreams {
				if !strings.HasSuffix(u.id, fmt.Sprint("-", replica)) {
					continue
				}
				f.setUpstream(u, fmt.Sprintf(`{"holds":[{"index":%q,"version":%d,"shards":%d,"holds":[%d]}]}`, index, version, shards, u.shard%shards))
				<-time.After(50 * time.Millisecond) // so that the version changes take most of the load's time
			}
		}
	}
	results := b.wait()
	report := f.checkResults(results)
	var snapshots []uint64
	for _, r := range results {
		if last := r.Last(); last.Status == http.StatusOK && !slices.Contains(snapshots, last.Answer.Snapshot) {
			snapshots = append(snapshots, last.Answer.Snapshot)
		}
	}
	if len(snapshots) < 2 || report.Complete == 0 {
		t.Errorf("answers of snapshots %v, %d of them complete; want several snapshots and complete answers", snapshots, report.Complete)
	}
}

// Guards against a query that keeps answers of a version that disappears while the
// query runs, after it has restarted at another version.
func TestSingleSnapshotWhenAVersionDisappears(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		shards: 3, replicas: 2, vms: 2, coverage: 0.3, upstreamFlags: []string{"--service", "30ms", "--spread", "1", "--slots", "20"},
	})
	b := f.startLoad(&bench.OpenLoop{
		Rate: 60, Period: 4 * time.Second, Seed: 11, Callers: []bench.Caller{{Wait: time.Second, DistinctQueries: 20}},
	})
	for version := 2; !isClosed(b.ended); version++ {
		for _, u := range f.upstreams {
			f.setUpstream(u, fmt.Sprintf(`{"holds":[{"index":%q,"version":%d,"shards":3,"holds":[%d]}]}`, index, version, u.shard))
		}
		// Longer than a query, so that many answers are also complete.
		<-time.After(600 * time.Millisecond)
	}
	results := b.wait()
	report := f.checkResults(results)
	if restarted := f.countRestarted(results); report.Complete == 0 || restarted == 0 {
		t.Errorf("%d complete answers, %d of queries that had run at an older version; want some of each", report.Complete, restarted)
	}
}

// countRestarted returns the number of finished runs that used another version than
// the answer to their query.
func (f *fleet) countRestarted(results []bench.Result) (n int) {
	f.t.Helper()
	snapshots := make(map[string]uint64)
	for _, r := range results {
		if last := r.Last(); last.Status == http.StatusOK {
			snapshots[fmt.Sprintf("%s-%d", last.EntryVM, last.Answer.RequestID)] = last.Answer.Snapshot
		}
	}
	for _, log := range f.runLogs() {
		for _, run := range log.Runs {
			if snapshot, ok := snapshots[run.RequestID]; ok && run.Version != snapshot && run.End == "finished" {
				n++
			}
		}
	}
	return n
}

// Guards against an answer that counts shards as covered whose upstreams were
// killed.
func TestTrueCoverageWithDeadUpstreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{shards: 3, replicas: 2, vms: 2, coverage: 0.3})
	b := f.startLoad(&bench.OpenLoop{
		Rate: 60, Period: 3 * time.Second, Seed: 2, Callers: []bench.Caller{{Wait: time.Second, DistinctQueries: 20}},
	})
	eventually(t, "runs of the first shard", func() bool { return len(f.runLog(f.upstreams[0]).Runs) > 3 })
	f.upstreams[0].kill()
	f.upstreams[1].kill()
	results := b.wait()
	report := f.checkResults(results)
	for _, r := range results {
		c := r.Last().Answer.Coverage
		if r.Last().Status == http.StatusOK && c.Answered < c.Total && !slices.Equal(c.Missing, []int{0}) {
			t.Errorf("partial answer misses shards %v, want only the dead shard 0", c.Missing)
		}
	}
	if report.Complete == 0 || report.Partial == 0 {
		t.Errorf("%d complete and %d partial answers, want some of each", report.Complete, report.Partial)
	}
}

// Guards against an answer that is given to another request when bytes from
// upstreams arrive late, in pieces and in another order across connections, and
// many requests have ended before their answers arrive.
func TestOwnAnswersUnderLateBytes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{shards: 3, replicas: 2, vms: 2, coverage: 0.3, proxied: true})
	for _, u := range f.upstreams {
		f.setFaultRules(u, `{"skew":"20ms","up":{"jitter":"5ms"},"down":{"delay":"5ms","jitter":"60ms","pieces":5,"gap":"2ms"}}`)
	}
	results := f.runLoad(&bench.OpenLoop{
		Rate: 150, Period: 3 * time.Second, Seed: 3,
		Callers: []bench.Caller{{Name: "a", Wait: 50 * time.Millisecond}, {Name: "b", Wait: time.Second}, {Name: "c", Wait: time.Second, MaxItems: 2}},
	})
	f.waitIdle()
	if report := f.checkResults(results); report.Complete == 0 || report.Complete == report.Queries {
		t.Errorf("%d of %d answers complete, want some complete and some not because of their wait", report.Complete, report.Queries)
	}
}

// Guards against a refusal which states that a request did not run although it did,
// under overload, connection resets and refused connections.
func TestRefusedAsNotRunDidNotRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		shards: 2, replicas: 2, vms: 2, coverage: 1, proxied: true, concurrency: 8,
		upstreamFlags: []string{"--slots", "1", "--queue", "1", "--service", "20ms"},
	})
	b := f.startLoad(&bench.OpenLoop{
		Rate: 300, Period: 3 * time.Second, Seed: 4,
		Callers: []bench.Caller{{Name: "a", Wait: 50 * time.Millisecond}, {Name: "b", Wait: time.Second}},
	})
	for round := 0; !isClosed(b.ended); round++ {
		u := f.upstreams[round%len(f.upstreams)]
		f.post(u.faultControl, "/v1/reset", "")
		f.setFaultRules(u, fmt.Sprintf(`{"refuse":%t,"down":{"delay":"%dms"}}`, round%3 == 0, round%4*10))
		<-time.After(20 * time.Millisecond)
	}
	for _, u := range f.upstreams {
		f.setFaultRules(u, `{}`)
	}
	results := b.wait()
	f.checkResults(results)
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

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// drainGrace is how long a draining upstream may still receive new requests.
const drainGrace = 2 * time.Second

// Guards against new requests to an upstream that drains.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	testDrain(t, newFleet(t, layout{shards: 2, replicas: 2, vms: 2, coverage: 1}))
}

// Guards against a load report that was made before the upstream drained, but
// arrives after its first refusal and brings it back into use.
func TestDrainingUpstreamWithLaggingReport(t *testing.T) {
	t.Parallel()
	testDrain(t, newFleet(t, layout{shards: 2, replicas: 2, vms: 2, coverage: 1, upstreamFlags: []string{"--lag", "1h"}}))
}

func testDrain(t *testing.T, f *fleet) {
	t.Helper()
	draining := f.upstreams[0]
	callers := []bench.Caller{{Wait: longWait, DistinctQueries: 20}}
	before := f.runLoad(&bench.OpenLoop{Rate: 100, Period: time.Second, Seed: 5, Callers: callers})
	if len(f.runLog(draining).Runs) == 0 {
		t.Fatal("the upstream got no request before it drained")
	}
	f.setUpstream(draining, `{"state":"drained"}`)
	// Long enough for every VM to receive a refusal or report from it.
	during := f.runLoad(&bench.OpenLoop{Rate: 100, Period: drainGrace, Seed: 6, Callers: callers})
	attempts := f.runLog(draining).Attempts
	after := f.runLoad(&bench.OpenLoop{Rate: 100, Period: 2 * time.Second, Seed: 7, Callers: callers})
	f.waitIdle()
	if got := f.runLog(draining).Attempts; got != attempts {
		t.Errorf("%d attempts reached the draining upstream after the grace time, want none", got-attempts)
	}
	if report := f.checkResults(slices.Concat(before, during, after)); report.Complete != report.Queries {
		t.Errorf("%d of %d answers complete, want all: the other replica holds the shard", report.Complete, report.Queries)
	}
}

// Guards against a graceful shutdown that drops requests in flight.
func TestTerminationCutsOffNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{shards: 2, replicas: 2, vms: 2, coverage: 1, upstreamFlags: []string{"--service", "2s", "--slots", "20"}})
	stopping := f.vms[0]
	// All requests are sent long before the first of them can be answered.
	b := f.startLoad(&bench.OpenLoop{
		Rate: 1000, Period: 10 * time.Millisecond, Seed: 8, Callers: []bench.Caller{{Wait: longWait}},
	})
	eventually(t, "requests in flight", func() bool {
		n := 0
		for _, u := range f.upstreams {
			n += f.loadReport(u).InFlight
		}
		return n >= 4
	})
	stopping.terminate()
	eventually(t, "the VM is not ready", func() bool {
		status, _, err := f.get(stopping.callerAddr, "/ready")
		return err != nil || status == http.StatusServiceUnavailable
	})
	results := b.wait()
	if status := stopping.waitExit(); status != 0 {
		t.Errorf("exit status %d, want 0", status)
	}
	if _, ok := stopping.findLine("drained"); !ok {
		t.Error("the VM did not log that it had drained")
	}
	if report := f.checkResults(results); report.Unanswered != 0 || report.Complete+report.Refused != report.Queries || report.Complete == 0 {
		t.Errorf("%d complete, %d refused and %d without an answer of %d; want none without an answer",
			report.Complete, report.Refused, report.Unanswered, report.Queries)
	}
}

// Guards against a killed VM that causes wrong answers or stuck requests at the
// other VMs.
func TestKilledVM(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{shards: 2, replicas: 2, vms: 3, coverage: 1})
	b := f.startLoad(&bench.OpenLoop{
		Rate: 100, Period: 3 * time.Second, Seed: 9, Callers: []bench.Caller{{Wait: longWait, DistinctQueries: 20, MaxResends: 3}},
	})
	eventually(t, "runs", func() bool { return len(f.runLog(f.upstreams[0]).Runs) > 3 })
	f.vms[0].kill()
	results := b.wait()
	if report := f.checkResults(results); report.Complete != report.Queries {
		t.Errorf("%d of %d answers complete, want all: callers resend unanswered requests through other VMs", report.Complete, report.Queries)
	}
	f.startVM(f.vms[0])
	f.waitReady(f.vms[0])
	again := f.runLoad(&bench.OpenLoop{Rate: 100, Period: time.Second, Seed: 10, Callers: []bench.Caller{{Wait: longWait}}})
	if report := f.checkResults(again); report.Complete != report.Queries {
		t.Errorf("%d of %d answers complete after the restart, want all", report.Complete, report.Queries)
	}
}

// Guards against VMs that together open more connections than an upstream accepts,
// while a replica becomes unavailable and returns.
func TestConnectionCapIsKept(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{shards: 2, replicas: 2, vms: 3, conns: 6, coverage: 1, upstreamFlags: []string{"--service", "10ms"}})
	callers := []bench.Caller{{Wait: time.Second, DistinctQueries: 20}}
	first := f.runLoad(&bench.OpenLoop{Rate: 300, Period: time.Second, Seed: 12, Callers: callers})
	f.setUpstream(f.upstreams[0], `{"state":"cold"}`)
	second := f.runLoad(&bench.OpenLoop{Rate: 300, Period: time.Second, Seed: 13, Callers: callers})
	f.setUpstream(f.upstreams[0], `{"state":"active"}`)
	third := f.runLoad(&bench.OpenLoop{Rate: 300, Period: time.Second, Seed: 14, Callers: callers})
	f.waitIdle()
	if report := f.checkResults(slices.Concat(first, second, third)); report.Complete == 0 {
		t.Error("no answer is complete, so the connections were not in use")
	}
	for _, u := range f.upstreams {
		if n := f.runLog(u).RefusedConns; n > 0 {
			t.Errorf("%s reset %d connections above its limit of %d, want none", u.id, n, f.layout.conns)
		}
	}
}

// Guards against a request that crashes every upstream that runs it, when the caller
// resends it through one VM after the other. VMs must report crashes to each other,
// within their zone and across zones, and refuse the request after two crashes.
func TestCrashingRequestCrashesTwoUpstreamsAtMost(t *testing.T) {
	t.Parallel()
	const resends = 20
	f := newFleet(t, layout{shards: 2, replicas: 3, vms: 5, coverage: 1, upstreamFlags: []string{"--restart", "500ms"}})
	results := f.runLoad(&bench.OpenLoop{
		Rate: 50, Period: 3 * time.Second, Seed: 15, Callers: []bench.Caller{
			{Name: "quiet", Wait: longWait, DistinctQueries: 20},
			{Name: "killer", Wait: time.Second, OnceAt: time.Second, CrashesUpstream: true, MaxResends: resends},
		},
	})
	f.waitIdle()
	f.checkResults(results)
	crashed := 0
	for _, log := range f.runLogs() {
		for _, run := range log.Runs {
			if run.End == stub.EndCrashed {
				crashed++
			}
		}
	}
	if crashed != 2 {
		t.Errorf("%d runs crashed their upstream, want 2: a single crash may be the fault of the upstream", crashed)
	}
	for _, r := range results {
		last := r.Last()
		switch {
		case r.Caller.Name == "quiet" && last.Status != http.StatusOK:
			t.Errorf("a harmless query was refused as %s", last.Answer.Reason)
		case r.Caller.Name == "killer" && (len(r.Sends) != resends+1 || last.Answer.Reason != "quarantine" || last.Answer.Ran != "no"):
			t.Errorf("the crashing request ended after %d sends as %q, ran %q; want %d sends, quarantine and no",
				len(r.Sends), last.Answer.Reason, last.Answer.Ran, resends+1)
		}
	}
}
