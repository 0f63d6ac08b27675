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
	f := &fixture{State: s, at: soakStart}
	f.advance(time.Second)
	f.acknowledgeChange()
	f.advance(2 * stableWindow)
	return f
}

// advance moves the time forward without a Tick, which would submit documents.
func (f *fixture) advance(d time.Duration) { f.at = f.at.Add(d) }

func (f *fixture) apply(body Body) { f.Step(f.at, body) }

// acknowledgeChange submits the next change and has it acknowledged.
func (f *fixture) acknowledgeChange() {
	f.now = f.at
	for n := len(f.submissionOfChange); len(f.submissionOfChange) == n; {
		f.submitDocument()
	}
	f.apply(SubmissionResult{Submission: len(f.submissions) - 1, Status: 200})
}

const testVM = 3 // the first entry VM

func (f *fixture) sendRequest(requestID string, c RequestClass) {
	f.apply(RequestSent{Request{ID: requestID, VM: testVM, Class: c, Digest: 7, Wait: 500 * time.Millisecond, At: f.at}})
}

func (f *fixture) startRun(receipt, requestID, service string) {
	f.apply(RequestArrived{Run{
		Receipt: receipt, RequestID: requestID, Service: service, Digest: 7, Wait: 400 * time.Millisecond, Accepted: true,
		Records: []byte(receipt + strings.Repeat(".", recordSize-len(receipt))),
	}})
}

// completeRun starts and finishes a run of request t.
func (f *fixture) completeRun(receipt, service string) {
	f.startRun(receipt, "t", service)
	f.finishRun(receipt, "t")
}

func (f *fixture) finishRun(receipt, requestID string) {
	f.apply(RunEnded{Receipt: receipt, RequestID: requestID, Finished: true})
}

// joinRecords returns the answer that consists of the records of runs.
func (f *fixture) joinRecords(receipts ...string) []byte {
	var body []byte
	for _, receipt := range receipts {
		body = append(body, f.runs[receipt].Records...)
	}
	return body
}

func (f *fixture) findingRules() string {
	var rules []string
	for _, finding := range f.report.Findings {
		rules = append(rules, finding.Rule)
	}
	return strings.Join(rules, " ")
}

// Guards against checks that miss a violated guarantee, or that report one where
// there is none. Each case names what happened and the rules it violates.
func TestJudge(t *testing.T) {
	tests := []struct {
		name, want string
		events     func(f *fixture)
	}{
		{"correct answer", "", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.completeRun("r1", plainService)
			f.apply(AnswerReceived{RequestID: "t", Status: 200, EchoedID: "t", Receipts: []string{"r1"}, Body: f.joinRecords("r1")})
		}},
		{"truncated body", "MIXED", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.completeRun("r1", plainService)
			f.apply(AnswerReceived{RequestID: "t", Status: 200, Receipts: []string{"r1"}, Body: f.joinRecords("r1")[1:]})
		}},
		{"answer before the run has ended", "MIXED", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.startRun("r1", "t", plainService)
			f.apply(AnswerReceived{RequestID: "t", Status: 200, Receipts: []string{"r1"}, Body: f.joinRecords("r1")})
		}},
		{"answer of another request", "MIXED", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.apply(AnswerReceived{RequestID: "t", Status: 200, EchoedID: "u"})
		}},
		{"bytes after the answer", "MIXED", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.apply(AnswerReceived{RequestID: "t", Status: 504, ExtraBytes: 1})
		}},
		{"failure with a receipt", "MIXED", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.startRun("r1", "t", plainService)
			f.apply(AnswerReceived{RequestID: "t", Status: 502, Receipts: []string{"r1"}})
		}},
		{"correct merged answer", "", func(f *fixture) {
			f.sendRequest("t", Sweep)
			f.completeRun("r1", "a0")
			f.completeRun("r2", "a2")
			f.apply(AnswerReceived{RequestID: "t", Status: 200, Receipts: []string{"r1", "r2"}, MissingShards: 1, Body: f.joinRecords("r2", "r1")})
		}},
		{"missing shard not stated", "MIXED", func(f *fixture) {
			f.sendRequest("t", Sweep)
			f.completeRun("r1", "a0")
			f.completeRun("r2", "a2")
			f.apply(AnswerReceived{RequestID: "t", Status: 200, Receipts: []string{"r1", "r2"}, Body: f.joinRecords("r2", "r1")})
		}},
		{"shards of two sets merged", "ROUTE MIXED", func(f *fixture) {
			f.sendRequest("t", Sweep)
			f.completeRun("r1", "a0")
			f.completeRun("r2", "b1")
			f.apply(AnswerReceived{RequestID: "t", Status: 200, Receipts: []string{"r1", "r2"}, MissingShards: 1, Body: f.joinRecords("r2", "r1")})
		}},
		{"merged records in the wrong order", "MIXED", func(f *fixture) {
			f.sendRequest("t", Sweep)
			f.completeRun("r1", "a0")
			f.completeRun("r2", "a2")
			f.apply(AnswerReceived{RequestID: "t", Status: 200, Receipts: []string{"r1", "r2"}, MissingShards: 1, Body: f.joinRecords("r1", "r2")})
		}},
		{"request that no caller sent", "UNASKED", func(f *fixture) { f.startRun("r1", "t", plainService) }},
		{"request with changed content", "UNASKED", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.apply(RequestArrived{Run{Receipt: "r1", RequestID: "t", Service: plainService, Digest: 8, Wait: time.Millisecond, Accepted: true}})
		}},
		{"run on a service outside the route", "ROUTE", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.startRun("r1", "t", "a0")
		}},
		{"another service declines the request", "", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.apply(RequestArrived{Run{RequestID: "t", Service: "a0", Digest: 7, Wait: time.Millisecond}})
		}},
		{"two runs of a write", "TWICE", func(f *fixture) {
			f.sendRequest("t", Write)
			f.startRun("r1", "t", plainService)
			f.startRun("r2", "t", plainService)
		}},
		{"refusal of a write that ran", "REFUSED", func(f *fixture) {
			f.sendRequest("t", Write)
			f.startRun("r1", "t", plainService)
			f.apply(AnswerReceived{RequestID: "t", Status: 503})
		}},
		{"run of a write that was refused", "REFUSED", func(f *fixture) {
			f.sendRequest("t", Write)
			f.apply(AnswerReceived{RequestID: "t", Status: 503})
			f.startRun("r1", "t", plainService)
		}},
		{"third attempt", "BUDGET", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.startRun("r1", "t", plainService)
			f.startRun("r2", "t", plainService)
			f.startRun("r3", "t", plainService)
		}},
		{"upstream told more time than the caller waits", "BUDGET", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.apply(RequestArrived{Run{Receipt: "r1", RequestID: "t", Service: plainService, Digest: 7, Wait: 2 * time.Second, Accepted: true}})
		}},
		{"hedges beyond the budget", "BUDGET", func(f *fixture) {
			for _, id := range strings.Split("abcdefgh", "") {
				f.sendRequest(id, Fetch)
				f.startRun("r1"+id, id, plainService)
				f.startRun("r2"+id, id, plainService)
			}
			f.judgeRetryBudget()
		}},
		{"404 on an existing route", "DENIED", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.apply(AnswerReceived{RequestID: "t", Status: 404})
		}},
		{"404 on a route in force", "DENIED", func(f *fixture) {
			f.sendRequest("t", Added)
			f.apply(AnswerReceived{RequestID: "t", Status: 404})
		}},
		{"404 on a route in force from a VM that was paused", "", func(f *fixture) {
			f.disturbances.add(component{componentVM, testVM}, f.at, false)
			f.sendRequest("t", Added)
			f.apply(AnswerReceived{RequestID: "t", Status: 404})
		}},
		{"run on a dropped route", "CONFIG", func(f *fixture) {
			for range addedRoutes {
				f.acknowledgeChange()
			}
			f.advance(2 * stableWindow)
			f.sendRequest("t", Added)
			f.startRun("r1", "t", plainService)
		}},
		{"run by an outdated change", "CONFIG", func(f *fixture) {
			f.acknowledgeChange()
			f.advance(2 * stableWindow)
			f.sendRequest("t", Move)
			f.startRun("r1", "t", moveService(0))
		}},
		{"VM that returns to an older change", "CONFIG", func(f *fixture) {
			f.acknowledgeChange()
			f.sendRequest("t", Move)
			f.startRun("r1", "t", moveService(1))
			f.advance(time.Second)
			f.sendRequest("u", Move)
			f.startRun("r2", "u", moveService(0))
		}},
		{"outdated document returned", "CONFIG", func(f *fixture) {
			f.acknowledgeChange()
			f.advance(ApplyWithin + time.Second)
			f.apply(DocumentRead{AskedAt: f.at, Submission: f.submissionOfChange[0]})
		}},
		{"document returned that no operator submitted", "CONFIG", func(f *fixture) { f.apply(DocumentRead{AskedAt: f.at, Submission: -1}) }},
		{"valid change rejected", "CONFIG", func(f *fixture) { f.apply(SubmissionResult{Submission: f.submissionOfChange[0], Status: 409}) }},
		{"connection closed on a request that ran", "LOST", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.startRun("r1", "t", plainService)
			f.advance(50 * time.Millisecond)
			f.apply(AnswerReceived{RequestID: "t", ConnError: "EOF"})
		}},
		{"connection closed by a planned stop on a request that ran", "LOST", func(f *fixture) {
			f.applySignal(Signal{testVM, Stop}, &plannedFault{})
			f.sendRequest("t", Fetch)
			f.startRun("r1", "t", plainService)
			f.advance(50 * time.Millisecond)
			f.apply(AnswerReceived{RequestID: "t", ConnError: "EOF"})
		}},
		{"connection closed by a kill", "", func(f *fixture) {
			f.applySignal(Signal{testVM, Kill}, &plannedFault{})
			f.sendRequest("t", Fetch)
			f.startRun("r1", "t", plainService)
			f.apply(AnswerReceived{RequestID: "t", ConnError: "EOF"})
		}},
		{"request while its VM is down", "", func(f *fixture) {
			f.applySignal(Signal{testVM, Stop}, &plannedFault{})
			f.apply(ProcessExited{VM: testVM})
			f.advance(time.Second / 2)
			f.sendRequest("t", Fetch)
			f.advance(time.Second / 4)
			f.apply(AnswerReceived{RequestID: "t", ConnError: "reset"})
		}},
		{"too little served after the recovery", "RECOVER", func(f *fixture) {
			f.advance(settleTime + recoverWithin)
			f.sendRequest("t", Fetch)
			f.apply(AnswerReceived{RequestID: "t", Status: 503})
			f.judgeRecovery()
		}},
		{"no answer within the caller's wait after the recovery", "RECOVER", func(f *fixture) {
			f.advance(settleTime + recoverWithin)
			f.sendRequest("t", Fetch)
			f.advance(500 * time.Millisecond)
			f.apply(CallerDisconnected{RequestID: "t"})
			f.judgeRecovery()
		}},
		{"too little served while the soak test stalls", "", func(f *fixture) {
			f.advance(settleTime + recoverWithin)
			f.apply(HarnessStalled{From: f.at.Add(-time.Second)})
			f.sendRequest("t", Fetch)
			f.apply(AnswerReceived{RequestID: "t", Status: 503})
			f.judgeRecovery()
		}},
		{"connection broken while the VM starts", "", func(f *fixture) {
			f.applySignal(Signal{testVM, Stop}, &plannedFault{})
			f.now = f.at
			f.startVM(testVM, StartVM{})
			f.sendRequest("t", Fetch)
			f.advance(time.Second / 4)
			f.apply(AnswerReceived{RequestID: "t", ConnError: "reset"})
		}},
		{"connection closed before the VM read the request", "", func(f *fixture) {
			f.sendRequest("t", Fetch)
			f.advance(time.Millisecond)
			f.apply(AnswerReceived{RequestID: "t", ConnError: "EOF"})
		}},
		{"runs that go on after their callers disconnect", "GONE", func(f *fixture) {
			for _, id := range strings.Split("abcd", "") {
				f.sendRequest(id, Fetch)
				f.startRun("r"+id, id, plainService)
				f.apply(CallerDisconnected{RequestID: id})
			}
			f.advance(time.Second)
			for _, id := range strings.Split("abcd", "") {
				f.finishRun("r"+id, id)
			}
			f.lastReadChange, f.lastReadAt = 0, f.at
			f.report.Stalls = 1 // keeps judgeRecovery from failing because no request follows
			f.JudgeEnd()
		}},
		{"requests delayed by a fault on the way to an upstream", "", func(f *fixture) {
			f.disturbances.add(component{componentUpstream, 0}, f.at, false)
			for _, id := range strings.Split("abcd", "") {
				f.sendRequest(id, Fetch)
				f.apply(CallerDisconnected{RequestID: id})
			}
			f.advance(time.Second)
			for _, id := range strings.Split("abcd", "") {
				f.startRun("r"+id, id, plainService)
			}
			f.lastReadChange, f.lastReadAt = 0, f.at
			f.report.Stalls = 1 // keeps judgeRecovery from failing because no request follows
			f.JudgeEnd()
		}},
		{"run on an upstream long listed as draining", "DRAIN", func(f *fixture) {
			f.apply(DrainListed{Drained: []int{0}})
			f.advance(drainWithin + time.Second)
			f.sendRequest("t", Sweep)
			f.startRun("r1", "t", "a0")
		}},
		{"process that exits without being told to", "ENDED", func(f *fixture) { f.apply(ProcessExited{VM: 1, Cause: "exit status 2"}) }},
		{"process ended by Stop during its startup", "", func(f *fixture) {
			f.now = f.at
			f.startVM(1, StartVM{})
			f.applySignal(Signal{1, Stop}, &plannedFault{})
			f.apply(ProcessExited{VM: 1, Cause: "signal: terminated"})
		}},
		{"process ended by Reload during its startup", "", func(f *fixture) {
			f.now = f.at
			f.startVM(1, StartVM{})
			f.applySignal(Signal{1, Reload}, &plannedFault{})
			f.advance(2 * time.Second)
			f.apply(ProcessExited{VM: 1, Cause: "signal: hangup"})
		}},
		{"process ended by Reload after its startup", "ENDED", func(f *fixture) {
			f.now = f.at
			f.applySignal(Signal{1, Reload}, &plannedFault{})
			f.apply(ProcessExited{VM: 1, Cause: "signal: hangup"})
		}},
		{"process ended by Stop without a graceful shutdown", "STOP", func(f *fixture) {
			f.now = f.at
			f.applySignal(Signal{1, Stop}, &plannedFault{})
			f.apply(ProcessExited{VM: 1, Cause: "signal: terminated"})
		}},
		{"runs that go on during a stall of the soak test", "", func(f *fixture) {
			for _, id := range strings.Split("abcd", "") {
				f.sendRequest(id, Fetch)
				f.startRun("r"+id, id, plainService)
				f.apply(CallerDisconnected{RequestID: id})
			}
			from := f.at
			f.advance(time.Second)
			f.apply(HarnessStalled{From: from})
			for _, id := range strings.Split("abcd", "") {
				f.finishRun("r"+id, id)
			}
			f.lastReadChange, f.lastReadAt = 0, f.at
			f.JudgeEnd()
		}},
		{"Stop sent to a process that was killed", "", func(f *fixture) {
			f.now = f.at
			f.applySignal(Signal{1, Kill}, &plannedFault{})
			f.applySignal(Signal{1, Stop}, &plannedFault{})
			f.apply(ProcessExited{VM: 1, Cause: "signal: killed"})
		}},
		{"process that still runs after its grace period", "STOP", func(f *fixture) {
			f.applySignal(Signal{1, Stop}, &plannedFault{})
			f.advance(4 * time.Second)
			f.now = f.at
			f.supervise(1)
		}},
		{"acknowledged change not returned at the end", "LOST", func(f *fixture) {
			f.acknowledgeChange()
			f.advance(2 * stableWindow)
			f.sendRequest("t", Fetch)
			f.apply(AnswerReceived{RequestID: "t", Status: 200})
			f.report.Findings = nil
			f.lastReadChange, f.lastReadAt = 0, f.at
			f.apply(Tick{})
			f.JudgeEnd()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			test.events(f)
			if got := f.findingRules(); got != test.want {
				t.Errorf("got findings %v, want %q", f.report.Findings, test.want)
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

// Guards against a check of pauses that misses requests in them, or reports those that
// were under way, that another VM sent, or that came after a restart of the VM.
func TestPauseOfAnUpstream(t *testing.T) {
	for _, tc := range []struct {
		name     string
		sender   int
		arrivals []time.Duration // after the upstream asked
		restart  bool
		want     string
	}{
		{"too many", testVM, []time.Duration{600 * time.Millisecond, 900 * time.Millisecond, 1900 * time.Millisecond}, false, "BUDGET"},
		{"two", testVM, []time.Duration{600 * time.Millisecond, 900 * time.Millisecond}, false, ""},
		{"under way", testVM, []time.Duration{0, 0, 0, 500 * time.Millisecond}, false, ""},
		{"afterwards", testVM, []time.Duration{2 * time.Second, 2 * time.Second, 3 * time.Second}, false, ""},
		{"another VM", testVM + 1, []time.Duration{time.Second, time.Second, time.Second}, false, ""},
		{"restarted", testVM, []time.Duration{time.Second, time.Second, time.Second}, true, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.sendRequest("t", Fetch)
			arrive := func(vm int, pause time.Duration) {
				f.apply(RequestArrived{Run{RequestID: "t", Upstream: 1, Service: plainService, Digest: 7, Wait: 400 * time.Millisecond, Sender: vm, Pause: pause}})
			}
			arrive(testVM, 2*time.Second)
			asked := f.at
			if tc.restart {
				f.disturbances.add(component{componentVM, testVM}, f.at, false).end = f.at
			}
			for _, after := range tc.arrivals {
				f.at = asked.Add(after)
				f.now = f.at
				f.judgePause(&Run{Upstream: 1, Sender: tc.sender})
			}
			if got := f.findingRules(); got != tc.want {
				t.Errorf("got findings %q, want %q", got, tc.want)
			}
		})
	}
}
