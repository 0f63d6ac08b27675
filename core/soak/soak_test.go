package soak

import (
	"strings"
	"testing"
	"time"
)

var soakStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture feeds a test's events to a soak test without faults, at a time that the
// test advances.
type fixture struct {
	*State
	at time.Time
}

// newFixture returns a fixture with one acknowledged change and all VMs stable.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := New(Config{
		Seed: 1, StartedAt: soakStart, LogVMs: 3, EntryVMs: 2, Zones: 3, ShutdownGrace: 3 * time.Second,
		RetryBudgetRatio: 0.2, RetryBudgetExtra: 5, RetryBudgetWindow: 10 * time.Second, Upstreams: Upstreams(),
	})
	s.Start(soakStart)
	b := &fixture{State: s, at: soakStart}
	b.advance(time.Second)
	b.acknowledgeChange()
	b.advance(2 * stableWindow)
	return b
}

// advance moves the time forward without a Tick, which would submit documents.
func (b *fixture) advance(d time.Duration) { b.at = b.at.Add(d) }

func (b *fixture) apply(body Body) { b.Step(b.at, body) }

// acknowledgeChange submits the next change and has it acknowledged.
func (b *fixture) acknowledgeChange() {
	b.now = b.at
	for n := len(b.submissionOfChange); len(b.submissionOfChange) == n; {
		b.submitDocument()
	}
	b.apply(SubmissionResult{Submission: len(b.submissions) - 1, Status: 200})
}

const testVM = 3 // the first entry VM

func (b *fixture) sendRequest(requestID string, c RequestClass) {
	b.apply(RequestSent{Request{ID: requestID, VM: testVM, Class: c, Digest: 7, Wait: 500 * time.Millisecond, At: b.at}})
}

func (b *fixture) startRun(receipt, requestID, service string) {
	b.apply(RequestArrived{Run{
		Receipt: receipt, RequestID: requestID, Service: service, Digest: 7, Wait: 400 * time.Millisecond, Accepted: true,
		Records: []byte(receipt + strings.Repeat(".", recordSize-len(receipt))),
	}})
}

// completeRun starts and finishes a run of request t.
func (b *fixture) completeRun(receipt, service string) {
	b.startRun(receipt, "t", service)
	b.finishRun(receipt, "t")
}

func (b *fixture) finishRun(receipt, requestID string) {
	b.apply(RunEnded{Receipt: receipt, RequestID: requestID, Finished: true})
}

// joinRecords returns the answer that consists of the records of runs.
func (b *fixture) joinRecords(receipts ...string) []byte {
	var body []byte
	for _, receipt := range receipts {
		body = append(body, b.runs[receipt].Records...)
	}
	return body
}

func (b *fixture) findingRules() string {
	var rules []string
	for _, f := range b.report.Findings {
		rules = append(rules, f.Rule)
	}
	return strings.Join(rules, " ")
}

// Guards against checks that miss a violated guarantee, or that report one where
// there is none. Each case names what happened and the rules it violates.
func TestJudge(t *testing.T) {
	tests := []struct {
		name, want string
		events     func(b *fixture)
	}{
		{"correct answer", "", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.completeRun("r1", plainService)
			b.apply(AnswerReceived{RequestID: "t", Status: 200, EchoedID: "t", Receipts: []string{"r1"}, Body: b.joinRecords("r1")})
		}},
		{"truncated body", "MIXED", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.completeRun("r1", plainService)
			b.apply(AnswerReceived{RequestID: "t", Status: 200, Receipts: []string{"r1"}, Body: b.joinRecords("r1")[1:]})
		}},
		{"answer before the run has ended", "MIXED", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.startRun("r1", "t", plainService)
			b.apply(AnswerReceived{RequestID: "t", Status: 200, Receipts: []string{"r1"}, Body: b.joinRecords("r1")})
		}},
		{"answer of another request", "MIXED", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.apply(AnswerReceived{RequestID: "t", Status: 200, EchoedID: "u"})
		}},
		{"bytes after the answer", "MIXED", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.apply(AnswerReceived{RequestID: "t", Status: 504, ExtraBytes: 1})
		}},
		{"failure with a receipt", "MIXED", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.startRun("r1", "t", plainService)
			b.apply(AnswerReceived{RequestID: "t", Status: 502, Receipts: []string{"r1"}})
		}},
		{"correct merged answer", "", func(b *fixture) {
			b.sendRequest("t", Sweep)
			b.completeRun("r1", "a0")
			b.completeRun("r2", "a2")
			b.apply(AnswerReceived{RequestID: "t", Status: 200, Receipts: []string{"r1", "r2"}, MissingShards: 1, Body: b.joinRecords("r2", "r1")})
		}},
		{"missing shard not stated", "MIXED", func(b *fixture) {
			b.sendRequest("t", Sweep)
			b.completeRun("r1", "a0")
			b.completeRun("r2", "a2")
			b.apply(AnswerReceived{RequestID: "t", Status: 200, Receipts: []string{"r1", "r2"}, Body: b.joinRecords("r2", "r1")})
		}},
		{"shards of two sets merged", "ROUTE MIXED", func(b *fixture) {
			b.sendRequest("t", Sweep)
			b.completeRun("r1", "a0")
			b.completeRun("r2", "b1")
			b.apply(AnswerReceived{RequestID: "t", Status: 200, Receipts: []string{"r1", "r2"}, MissingShards: 1, Body: b.joinRecords("r2", "r1")})
		}},
		{"merged records in the wrong order", "MIXED", func(b *fixture) {
			b.sendRequest("t", Sweep)
			b.completeRun("r1", "a0")
			b.completeRun("r2", "a2")
			b.apply(AnswerReceived{RequestID: "t", Status: 200, Receipts: []string{"r1", "r2"}, MissingShards: 1, Body: b.joinRecords("r1", "r2")})
		}},
		{"request that no caller sent", "UNASKED", func(b *fixture) { b.startRun("r1", "t", plainService) }},
		{"request with changed content", "UNASKED", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.apply(RequestArrived{Run{Receipt: "r1", RequestID: "t", Service: plainService, Digest: 8, Wait: time.Millisecond, Accepted: true}})
		}},
		{"run on a service outside the route", "ROUTE", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.startRun("r1", "t", "a0")
		}},
		{"another service declines the request", "", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.apply(RequestArrived{Run{RequestID: "t", Service: "a0", Digest: 7, Wait: time.Millisecond}})
		}},
		{"two runs of a write", "TWICE", func(b *fixture) {
			b.sendRequest("t", Write)
			b.startRun("r1", "t", plainService)
			b.startRun("r2", "t", plainService)
		}},
		{"refusal of a write that ran", "REFUSED", func(b *fixture) {
			b.sendRequest("t", Write)
			b.startRun("r1", "t", plainService)
			b.apply(AnswerReceived{RequestID: "t", Status: 503})
		}},
		{"run of a write that was refused", "REFUSED", func(b *fixture) {
			b.sendRequest("t", Write)
			b.apply(AnswerReceived{RequestID: "t", Status: 503})
			b.startRun("r1", "t", plainService)
		}},
		{"third attempt", "BUDGET", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.startRun("r1", "t", plainService)
			b.startRun("r2", "t", plainService)
			b.startRun("r3", "t", plainService)
		}},
		{"upstream told more time than the caller waits", "BUDGET", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.apply(RequestArrived{Run{Receipt: "r1", RequestID: "t", Service: plainService, Digest: 7, Wait: 2 * time.Second, Accepted: true}})
		}},
		{"hedges beyond the budget", "BUDGET", func(b *fixture) {
			for _, id := range strings.Split("abcdefgh", "") {
				b.sendRequest(id, Fetch)
				b.startRun("r1"+id, id, plainService)
				b.startRun("r2"+id, id, plainService)
			}
			b.judgeRetryBudget()
		}},
		{"404 on an existing route", "DENIED", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.apply(AnswerReceived{RequestID: "t", Status: 404})
		}},
		{"404 on a route in force", "DENIED", func(b *fixture) {
			b.sendRequest("t", Added)
			b.apply(AnswerReceived{RequestID: "t", Status: 404})
		}},
		{"404 on a route in force from a VM that was paused", "", func(b *fixture) {
			b.disturbances.add(component{componentVM, testVM}, b.at, false)
			b.sendRequest("t", Added)
			b.apply(AnswerReceived{RequestID: "t", Status: 404})
		}},
		{"run on a dropped route", "CONFIG", func(b *fixture) {
			for range addedRoutes {
				b.acknowledgeChange()
			}
			b.advance(2 * stableWindow)
			b.sendRequest("t", Added)
			b.startRun("r1", "t", plainService)
		}},
		{"run by an outdated change", "CONFIG", func(b *fixture) {
			b.acknowledgeChange()
			b.advance(2 * stableWindow)
			b.sendRequest("t", Move)
			b.startRun("r1", "t", moveService(0))
		}},
		{"VM that returns to an older change", "CONFIG", func(b *fixture) {
			b.acknowledgeChange()
			b.sendRequest("t", Move)
			b.startRun("r1", "t", moveService(1))
			b.advance(time.Second)
			b.sendRequest("u", Move)
			b.startRun("r2", "u", moveService(0))
		}},
		{"outdated document returned", "CONFIG", func(b *fixture) {
			b.acknowledgeChange()
			b.advance(applyWithin + time.Second)
			b.apply(DocumentRead{AskedAt: b.at, Submission: b.submissionOfChange[0]})
		}},
		{"document returned that no operator submitted", "CONFIG", func(b *fixture) { b.apply(DocumentRead{AskedAt: b.at, Submission: -1}) }},
		{"valid change rejected", "CONFIG", func(b *fixture) { b.apply(SubmissionResult{Submission: b.submissionOfChange[0], Status: 409}) }},
		{"connection closed on a request that ran", "LOST", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.startRun("r1", "t", plainService)
			b.advance(50 * time.Millisecond)
			b.apply(AnswerReceived{RequestID: "t", ConnError: "EOF"})
		}},
		{"connection closed by a planned stop on a request that ran", "LOST", func(b *fixture) {
			b.applySignal(Signal{testVM, Stop}, &plannedFault{})
			b.sendRequest("t", Fetch)
			b.startRun("r1", "t", plainService)
			b.advance(50 * time.Millisecond)
			b.apply(AnswerReceived{RequestID: "t", ConnError: "EOF"})
		}},
		{"connection closed by a kill", "", func(b *fixture) {
			b.applySignal(Signal{testVM, Kill}, &plannedFault{})
			b.sendRequest("t", Fetch)
			b.startRun("r1", "t", plainService)
			b.apply(AnswerReceived{RequestID: "t", ConnError: "EOF"})
		}},
		{"request while its VM is down", "", func(b *fixture) {
			b.applySignal(Signal{testVM, Stop}, &plannedFault{})
			b.apply(ProcessExited{VM: testVM})
			b.advance(time.Second / 2)
			b.sendRequest("t", Fetch)
			b.advance(time.Second / 4)
			b.apply(AnswerReceived{RequestID: "t", ConnError: "reset"})
		}},
		{"too little served after the recovery", "RECOVER", func(b *fixture) {
			b.advance(settleTime + recoverWithin)
			b.sendRequest("t", Fetch)
			b.apply(AnswerReceived{RequestID: "t", Status: 503})
			b.judgeRecovery()
		}},
		{"no answer within the caller's wait after the recovery", "RECOVER", func(b *fixture) {
			b.advance(settleTime + recoverWithin)
			b.sendRequest("t", Fetch)
			b.advance(500 * time.Millisecond)
			b.apply(CallerDisconnected{RequestID: "t"})
			b.judgeRecovery()
		}},
		{"too little served while the soak test stalls", "", func(b *fixture) {
			b.advance(settleTime + recoverWithin)
			b.apply(HarnessStalled{From: b.at.Add(-time.Second)})
			b.sendRequest("t", Fetch)
			b.apply(AnswerReceived{RequestID: "t", Status: 503})
			b.judgeRecovery()
		}},
		{"connection broken while the VM starts", "", func(b *fixture) {
			b.applySignal(Signal{testVM, Stop}, &plannedFault{})
			b.now = b.at
			b.startVM(testVM, StartVM{})
			b.sendRequest("t", Fetch)
			b.advance(time.Second / 4)
			b.apply(AnswerReceived{RequestID: "t", ConnError: "reset"})
		}},
		{"connection closed before the VM read the request", "", func(b *fixture) {
			b.sendRequest("t", Fetch)
			b.advance(time.Millisecond)
			b.apply(AnswerReceived{RequestID: "t", ConnError: "EOF"})
		}},
		{"runs that go on after their callers disconnect", "GONE", func(b *fixture) {
			for _, id := range strings.Split("abcd", "") {
				b.sendRequest(id, Fetch)
				b.startRun("r"+id, id, plainService)
				b.apply(CallerDisconnected{RequestID: id})
			}
			b.advance(time.Second)
			for _, id := range strings.Split("abcd", "") {
				b.finishRun("r"+id, id)
			}
			b.lastReadChange, b.lastReadAt = 0, b.at
			b.report.Stalls = 1 // keeps judgeRecovery from failing because no request follows
			b.JudgeEnd()
		}},
		{"requests delayed by a fault on the way to an upstream", "", func(b *fixture) {
			b.disturbances.add(component{componentUpstream, 0}, b.at, false)
			for _, id := range strings.Split("abcd", "") {
				b.sendRequest(id, Fetch)
				b.apply(CallerDisconnected{RequestID: id})
			}
			b.advance(time.Second)
			for _, id := range strings.Split("abcd", "") {
				b.startRun("r"+id, id, plainService)
			}
			b.lastReadChange, b.lastReadAt = 0, b.at
			b.report.Stalls = 1 // keeps judgeRecovery from failing because no request follows
			b.JudgeEnd()
		}},
		{"run on an upstream long listed as draining", "DRAIN", func(b *fixture) {
			b.apply(DrainListed{Drained: []int{0}})
			b.advance(drainWithin + time.Second)
			b.sendRequest("t", Sweep)
			b.startRun("r1", "t", "a0")
		}},
		{"process that exits without being told to", "ENDED", func(b *fixture) { b.apply(ProcessExited{VM: 1, Cause: "exit status 2"}) }},
		{"process ended by Stop during its startup", "", func(b *fixture) {
			b.now = b.at
			b.startVM(1, StartVM{})
			b.applySignal(Signal{1, Stop}, &plannedFault{})
			b.apply(ProcessExited{VM: 1, Cause: "signal: terminated"})
		}},
		{"process ended by Reload during its startup", "", func(b *fixture) {
			b.now = b.at
			b.startVM(1, StartVM{})
			b.applySignal(Signal{1, Reload}, &plannedFault{})
			b.advance(2 * time.Second)
			b.apply(ProcessExited{VM: 1, Cause: "signal: hangup"})
		}},
		{"process ended by Reload after its startup", "ENDED", func(b *fixture) {
			b.now = b.at
			b.applySignal(Signal{1, Reload}, &plannedFault{})
			b.apply(ProcessExited{VM: 1, Cause: "signal: hangup"})
		}},
		{"process ended by Stop without a graceful shutdown", "STOP", func(b *fixture) {
			b.now = b.at
			b.applySignal(Signal{1, Stop}, &plannedFault{})
			b.apply(ProcessExited{VM: 1, Cause: "signal: terminated"})
		}},
		{"runs that go on during a stall of the soak test", "", func(b *fixture) {
			for _, id := range strings.Split("abcd", "") {
				b.sendRequest(id, Fetch)
				b.startRun("r"+id, id, plainService)
				b.apply(CallerDisconnected{RequestID: id})
			}
			from := b.at
			b.advance(time.Second)
			b.apply(HarnessStalled{From: from})
			for _, id := range strings.Split("abcd", "") {
				b.finishRun("r"+id, id)
			}
			b.lastReadChange, b.lastReadAt = 0, b.at
			b.JudgeEnd()
		}},
		{"Stop sent to a process that was killed", "", func(b *fixture) {
			b.now = b.at
			b.applySignal(Signal{1, Kill}, &plannedFault{})
			b.applySignal(Signal{1, Stop}, &plannedFault{})
			b.apply(ProcessExited{VM: 1, Cause: "signal: killed"})
		}},
		{"process that still runs after its grace period", "STOP", func(b *fixture) {
			b.applySignal(Signal{1, Stop}, &plannedFault{})
			b.advance(4 * time.Second)
			b.now = b.at
			b.supervise(1)
		}},
		{"acknowledged change not returned at the end", "LOST", func(b *fixture) {
			b.acknowledgeChange()
			b.advance(2 * stableWindow)
			b.sendRequest("t", Fetch)
			b.apply(AnswerReceived{RequestID: "t", Status: 200})
			b.report.Findings = nil
			b.lastReadChange, b.lastReadAt = 0, b.at
			b.apply(Tick{})
			b.JudgeEnd()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t)
			test.events(b)
			if got := b.findingRules(); got != test.want {
				t.Errorf("got findings %v, want %q", b.report.Findings, test.want)
			}
		})
	}
}

// Guards against a plan that depends on more than the seed, so that a failed run
// could not be repeated.
func TestPlanDependsOnSeedOnly(t *testing.T) {
	cfg := Config{Seed: 5, FaultPeriod: time.Minute, LogVMs: 5, EntryVMs: 6, Zones: 3, Upstreams: Upstreams()}
	a, b := New(cfg), New(cfg)
	if len(a.plan) < 20 {
		t.Fatalf("got %d faults in a minute, want many", len(a.plan))
	}
	for i := range a.plan {
		if a.plan[i].name != b.plan[i].name || a.plan[i].offset != b.plan[i].offset {
			t.Fatalf("fault %d: got %v and %v, want the same", i, a.plan[i], b.plan[i])
		}
	}
}

// Guards against a plan that ends or pauses a VM with the log around the time when
// another one loses its disk, which is more than the fleet must tolerate.
func TestPlanSparesLogAroundLostDisk(t *testing.T) {
	const catchUp = stableWindow + 4*time.Second // of a VM that lost its disk
	for seed := range uint64(200) {
		s := New(Config{Seed: seed, FaultPeriod: time.Minute, LogVMs: 5, EntryVMs: 6, Zones: 3, Upstreams: Upstreams()})
		for i, lost := range s.plan {
			if !lost.respawn.WipeDisk {
				continue
			}
			for j, other := range s.plan {
				for _, e := range other.begin {
					signal, ok := e.(Signal)
					near := other.offset+other.duration+other.restartDelay > lost.offset-stableWindow && other.offset < lost.offset+catchUp
					if i != j && ok && signal.VM < 5 && signal.Kind != Reload && signal.Kind != Resume && near {
						t.Fatalf("seed %d: %s at %v beside a lost disk at %v", seed, other.name, other.offset, lost.offset)
					}
				}
			}
		}
	}
}
