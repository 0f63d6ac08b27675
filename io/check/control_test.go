package check

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/admin"
	"comfreypulley/io/bench"
)

// majorityTimeout is how long a VM must have had no contact to a majority of the
// log's replicas before it refuses what needs one.
const majorityTimeout = 6 * time.Second

// Guards against accepted changes that are lost, and revisions that decrease, when
// VMs with disks are killed: the leader, then two at once, then all.
func TestKilledDiskVMsLoseNoAcceptedChange(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{vms: 6})
	watch, o := f.watchRevisions(), f.startOperator("c", f.vms...)
	o.waitAccepted(t, 20)
	leader := f.waitLeader()
	for _, killed := range [][]*vm{{leader}, {f.vms[1], f.vms[3]}, f.vms[:diskVMs]} {
		for _, v := range killed {
			v.kill()
		}
		if len(killed) < diskVMs {
			o.waitAccepted(t, 20)
		}
		for _, v := range killed {
			f.startVM(v)
		}
		for _, v := range killed {
			f.waitReady(v)
		}
		o.waitAccepted(t, 20)
	}
	o.finish(t)
	f.checkContracts(o, f.vms...)
	watch.finish()
}

// sendOne sends one request to each of the VMs and returns the results.
func (f *fleet) sendOne(c bench.Caller, seed int, vms ...*vm) (results []bench.Result) {
	f.t.Helper()
	for _, v := range vms {
		c.OnceAt = time.Nanosecond
		results = append(results, f.runLoad(&bench.OpenLoop{
			Targets: []netip.AddrPort{v.callerAddr}, Rate: 1, Period: time.Millisecond, Seed: uint64(seed), Callers: []bench.Caller{c},
		})...)
	}
	return results
}

// Guards against a zone that is cut off from the majority and stops answering
// queries, accepts a change or runs a confirmation, or that reverts the
// configuration when it is reconnected. A confirmation is a request that may run
// once only.
func TestSeparatedZone(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{shards: 2, replicas: 3, vms: 6, coverage: 0.5, zoned: true})
	watch, o := f.watchRevisions(), f.startOperator("c", f.vms[1], f.vms[2], f.vms[4], f.vms[5])
	o.waitAccepted(t, 5)
	inside := []*vm{f.vms[0], f.vms[3]}
	f.isolateZone(0)
	var results []bench.Result
	for _, v := range inside {
		// Queries already in progress lose their attempts in other zones.
		eventually(t, v.id+" serves from its own upstreams", func() bool {
			results = append(results, f.sendOne(bench.Caller{Wait: time.Second}, 100+len(results), v)...)
			return results[len(results)-1].Complete()
		})
		eventually(t, v.id+" knows that it is cut off", func() bool {
			s, ok := f.status(v)
			return ok && time.Duration(s.MajorityAge) >= majorityTimeout
		})
		eventually(t, v.id+" refuses confirmations for lack of a majority", func() bool {
			results = append(results, f.sendOne(bench.Caller{Wait: longWait, NonIdempotent: true}, 100+len(results), v)...)
			last := results[len(results)-1].Last()
			if last.Status == http.StatusOK || last.Answer.Ran != "no" {
				t.Errorf("run: got %d %q, ran %q; want a refusal and no", last.Status, last.Answer.Reason, last.Answer.Ran)
			}
			return last.Status == http.StatusServiceUnavailable && last.Answer.Reason == "majority"
		})
		_, err := v.client().PutContract(t.Context(), admin.ChangeHeaders{Operation: "inside" + v.id}, newContract("inside"+v.id, 1))
		var refused *admin.ResultError
		if !errors.As(err, &refused) || refused.Result.Status != "majority" {
			t.Errorf("a change through %s: got %v, want a refusal for lack of a majority", v.id, err)
		}
	}
	o.waitAccepted(t, 20)
	f.isolateZone(-1)
	o.finish(t)
	f.checkContracts(o, f.vms...)
	for _, v := range inside {
		if c, err := f.vms[1].client().Contract(t.Context(), "inside"+v.id); err == nil {
			t.Errorf("the change of contract %s was refused and is in force", c.Customer)
		}
	}
	watch.finish()
	for _, v := range f.vms {
		eventually(t, v.id+" runs confirmations again", func() bool {
			results = append(results, f.sendOne(bench.Caller{Wait: longWait, NonIdempotent: true}, 100+len(results), v)...)
			return results[len(results)-1].Complete()
		})
	}
	f.waitIdle()
	f.checkResults(results)
}

// Guards against a cut off zone that refuses queries, or answers them only in part,
// although its own upstreams can answer them completely.
func TestSeparatedZoneServesItsWholeLoad(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{shards: 2, replicas: 3, vms: 6, coverage: 0.5, zoned: true})
	f.isolateZone(0)
	var results []bench.Result
	eventually(t, "the zone answers every query completely from its own upstreams", func() bool {
		answers := f.runLoad(&bench.OpenLoop{
			Targets: []netip.AddrPort{f.vms[0].callerAddr, f.vms[3].callerAddr}, Rate: 50, Period: 500 * time.Millisecond,
			Seed: uint64(100 + len(results)), Callers: []bench.Caller{{Wait: time.Second}},
		})
		results = append(results, answers...)
		return len(bench.Select(answers, (*bench.Result).Complete)) == len(answers)
	})
	f.waitIdle()
	f.checkResults(results)
}

// Guards against a VM that uses an outdated configuration after a restart, for a VM
// with a disk and for one without.
func TestRestartedVMServesCurrentConfiguration(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{vms: 6})
	returning := []*vm{f.vms[1], f.vms[5]}
	for _, v := range returning {
		v.kill()
	}
	var operators []*operator
	for n := range 10 {
		operators = append(operators, f.startOperator(fmt.Sprintf("c%d-", n), f.vms[0], f.vms[2], f.vms[3], f.vms[4]))
	}
	revision := model.Revision(0)
	for _, o := range operators {
		o.waitAccepted(t, max(0, 50-o.acceptedCount()))
		o.finish(t)
		revision = max(revision, o.revision)
	}
	for _, v := range returning {
		f.startVM(v)
		f.waitReady(v)
		if s, ok := f.status(v); !ok || s.Revision < uint64(revision) {
			t.Errorf("%s is ready at revision %d, want at least %d", v.id, s.Revision, revision)
		}
	}
}

// Guards against accepted changes that are lost when a VM comes back with an empty
// disk and others fail right after. With two of five VMs with disks killed, every
// majority needs the one with the new disk.
func TestReplacedDiskVM(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{vms: 6})
	watch, o := f.watchRevisions(), f.startOperator("c", f.vms...)
	o.waitAccepted(t, 20)
	replaced := f.vms[1]
	replaced.kill()
	if err := os.RemoveAll(filepath.Join(f.dir, replaced.id)); err != nil {
		t.Fatal(err)
	}
	o.waitAccepted(t, 20)
	f.startVM(replaced)
	f.waitReady(replaced)
	// Until the new disk has a vote, the old one is one of the two losses that the
	// fleet tolerates.
	eventually(t, replaced.id+" votes with its new disk", func() bool {
		notes, err := f.waitLeader().client().Explain(t.Context(), "log")
		return err == nil && slices.ContainsFunc(notes, func(n admin.Note) bool {
			return strings.HasPrefix(n.Action, "added voter "+replaced.id)
		})
	})
	f.waitLeader().kill()
	o.waitAccepted(t, 20)
	for _, v := range f.vms[:diskVMs] {
		if v != replaced && !v.hasEnded() {
			v.kill()
			break
		}
	}
	o.waitAccepted(t, 20)
	for _, v := range f.vms {
		if v.hasEnded() {
			f.startVM(v)
		}
	}
	o.finish(t)
	f.checkContracts(o, f.vms...)
	watch.finish()
}

// racer is an operator whose change races with that of another operator.
type racer struct {
	vm       *vm
	change   admin.ChangeHeaders
	contract model.Contract
	result   admin.Result
	err      error
}

func (r *racer) run(ctx context.Context) {
	r.result, r.err = r.vm.client().PutContract(ctx, r.change, r.contract)
}

// Guards against two concurrent changes of one revision that are both accepted
// or both refused, and against a resend that is applied twice or returns
// another result.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{vms: 6})
	first, err := f.vms[0].client().PutContract(t.Context(), admin.ChangeHeaders{Operation: "first"}, newContract("raced", 1))
	if err != nil {
		t.Fatal(err)
	}
	current := first.Revision
	for round := range 20 {
		var wg sync.WaitGroup
		racers := make([]*racer, 2)
		for i := range racers {
			racers[i] = &racer{
				vm: f.vms[(round+i*3)%len(f.vms)], contract: newContract("raced", 2+2*round+i),
				change: admin.ChangeHeaders{Operation: fmt.Sprintf("race-%d-%d", round, i), ExpectedRevision: model.Revision(current)},
			}
			wg.Go(func() { racers[i].run(t.Context()) })
		}
		wg.Wait()
		winner, loser := racers[0], racers[1]
		if winner.err != nil {
			winner, loser = loser, winner
		}
		var refused *admin.ResultError
		if winner.err != nil || !errors.As(loser.err, &refused) || refused.StatusCode != http.StatusConflict || refused.Result.Revision != winner.result.Revision {
			t.Fatalf("round %d: got %v and %v, want one accepted and one refused with the current revision %d", round, winner.err, loser.err, winner.result.Revision)
		}
		current = winner.result.Revision
		for _, r := range racers {
			again := &racer{vm: f.vms[round%len(f.vms)], change: r.change, contract: r.contract}
			again.run(t.Context())
			var other *admin.ResultError
			switch {
			case r == winner && (again.err != nil || again.result != r.result):
				t.Errorf("round %d: resend got %+v and %v, want the first result %+v", round, again.result, again.err, r.result)
			case r == loser && (!errors.As(again.err, &other) || other.Result != refused.Result):
				t.Errorf("round %d: resend got %v, want the first result %v", round, again.err, refused)
			}
		}
	}
	f.waitInForce(model.Revision(current), f.vms...)
	for _, v := range f.vms {
		if c, err := v.client().Contract(t.Context(), "raced"); err != nil || uint64(c.Revision) != current {
			t.Errorf("%s has revision %d of the contract and %v, want %d", v.id, c.Revision, err, current)
		}
	}
}

// Guards against confirmations that run twice, or that are acknowledged and then
// lost, when VMs are killed, a zone is cut off and callers resend through other
// VMs.
func TestConfirmationsUnderKillsAndCuts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{shards: 2, replicas: 3, vms: 7, coverage: 1, zoned: true, upstreamFlags: []string{"--service", "5ms"}})
	b := f.startLoad(&bench.OpenLoop{
		Rate: 60, Period: 6 * time.Second, Seed: 24, Callers: []bench.Caller{{Wait: time.Second, NonIdempotent: true, MaxResends: 6}},
	})
	waitRuns := func(more int) {
		runs := func() (n int) {
			for _, u := range f.upstreams {
				n += len(f.runLog(u).Runs)
			}
			return n
		}
		want := runs() + more
		eventually(t, "confirmations run", func() bool { return runs() >= want })
	}
	waitRuns(20)
	f.vms[6].kill()
	waitRuns(20)
	f.isolateZone(1)
	waitRuns(20)
	f.isolateZone(-1)
	leader := f.waitLeader()
	leader.kill()
	waitRuns(20)
	f.startVM(f.vms[6])
	f.startVM(leader)
	results := b.wait()
	report := f.checkResults(results)
	if report.Confirmed == 0 {
		t.Error("no confirmation was acknowledged, so the test checked nothing")
	}
	t.Logf("confirmed %d of %d, doubled %d, lost %d", report.Confirmed, len(results), report.DuplicateRuns, report.LostRuns)
}

// Guards against a request that runs again when its idempotency key is sent after
// the retention, when the record of the first run may be gone.
func TestResendAfterRetention(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{shards: 1, replicas: 1, vms: 3, coverage: 1, retention: "2s"})
	key := model.NewKey(time.Now(), [10]byte{1})
	send := func(v *vm) (status int, answer bench.Answer) {
		status, raw, err := f.request(http.MethodPost, v.callerAddr, "/v1/run", `{"index":"`+index+`","query":{"n":1}}`, map[string]string{
			"Authorization": "Bearer " + customer + "." + secret, "Wait": "1s", "Idempotency-Key": key.String(),
		})
		if err != nil || json.Unmarshal(raw, &answer) != nil {
			t.Fatalf("got %v and %q", err, raw)
		}
		return status, answer
	}
	eventually(t, "the resend is refused", func() bool {
		status, answer := send(f.vms[0])
		return status == http.StatusGone && answer.Reason == "expired"
	})
	for _, v := range f.vms {
		if status, answer := send(v); status != http.StatusGone || answer.Reason != "expired" {
			t.Errorf("%s: got %d %q, want 410 expired", v.id, status, answer.Reason)
		}
	}
	if n := len(f.runLog(f.upstreams[0]).Runs); n > 1 {
		t.Errorf("the request ran %d times, want once at most", n)
	}
}

// Guards against a leader that drops requests or changes in progress when it shuts
// down gracefully.
func TestTerminatedLeaderCutsOffNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{shards: 2, replicas: 2, vms: 6, coverage: 1, upstreamFlags: []string{"--service", "1s", "--slots", "20"}})
	leader := f.waitLeader()
	others := slices.DeleteFunc(slices.Clone(f.vms), func(v *vm) bool { return v == leader })
	o := f.startOperator("c", f.vms...)
	o.waitAccepted(t, 10)
	// All requests are sent long before the first of them can be answered.
	b := f.startLoad(&bench.OpenLoop{
		Targets: []netip.AddrPort{leader.callerAddr, leader.callerAddr, others[0].callerAddr}, Rate: 1000, Period: 20 * time.Millisecond, Seed: 25,
		Callers: []bench.Caller{{Name: "query", Wait: longWait}, {Name: "run", Wait: longWait, NonIdempotent: true}},
	})
	eventually(t, "requests in flight", func() bool {
		n := 0
		for _, u := range f.upstreams {
			n += f.loadReport(u).InFlight
		}
		return n >= 4
	})
	leader.terminate()
	if status := leader.waitExit(); status != 0 {
		t.Errorf("exit status %d, want 0", status)
	}
	if _, ok := leader.findLine("drained"); !ok {
		t.Error("the leader did not log that it had drained")
	}
	o.waitAccepted(t, 10)
	results := b.wait()
	o.finish(t)
	f.checkContracts(o, others...)
	f.checkResults(results)
	answered := 0
	for i := range results {
		switch last := results[i].Last(); last.Status {
		case 0:
			t.Errorf("a request through %v got no answer", last.Target)
		case http.StatusOK:
			answered++
		}
	}
	if answered == 0 {
		t.Error("no request was answered, so the test checked nothing")
	}
}

// Guards against VMs that do not accept each other's certificates, against listeners
// that accept connections without one, and against a SIGHUP that discards the keys in
// use although the new key file is invalid.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{vms: 4, tls: true})
	o := f.startOperator("c", f.vms...)
	o.waitAccepted(t, 10)
	v := f.vms[0]
	for name, keys := range map[string]*tls.Config{"plain HTTP": nil, "no certificate": {InsecureSkipVerify: true}} {
		if _, err := (&admin.Client{Addr: v.adminAddr, TLS: keys}).FleetStatus(t.Context(), false); err == nil {
			t.Errorf("%s: got an answer at the operators' listener, want none", name)
		}
	}
	good, err := os.ReadFile(filepath.Join(f.dir, v.id+".key"))
	if err != nil {
		t.Fatal(err)
	}
	for key, message := range map[string]string{"bad": "keys not reloaded; the old ones stay in use", string(good): "keys reloaded"} {
		f.writeFile(v.id+".key", key)
		if err := v.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		eventually(t, message, func() bool { _, ok := v.findLine(message); return ok })
		// The restart makes both VMs open new connections with the current keys.
		f.vms[1].kill()
		f.startVM(f.vms[1])
		f.waitReady(f.vms[1])
		o.waitAccepted(t, 10)
	}
	o.finish(t)
	f.checkContracts(o, f.vms...)
}
