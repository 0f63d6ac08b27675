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

// isolatedAge is the time without a majority after which a VM refuses what needs
// one.
const isolatedAge = 6 * time.Second

// Guards against accepted changes that are lost, and revisions that fall, when
// disk VMs are killed: the leader, any two at once, then all.
func TestKilledDiskVMsLoseNoAcceptedChange(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{vms: 6})
	watch, o := w.watch(), w.operate("c", w.vms...)
	o.more(t, 20)
	leader := w.leader()
	for _, killed := range [][]*vm{{leader}, {w.vms[1], w.vms[3]}, w.vms[:disks]} {
		for _, v := range killed {
			v.kill()
		}
		if len(killed) < disks {
			o.more(t, 20)
		}
		for _, v := range killed {
			w.startVM(v)
		}
		for _, v := range killed {
			w.ready(v)
		}
		o.more(t, 20)
	}
	o.finish(t)
	w.expectContracts(o, w.vms...)
	watch.end()
}

// one sends one request to each of the VMs and returns the answers.
func (w *world) one(c bench.Caller, seed int, vms ...*vm) (results []bench.Result) {
	w.t.Helper()
	for _, v := range vms {
		c.OnceAt = time.Nanosecond
		results = append(results, w.load(&bench.OpenLoop{
			Targets: []netip.AddrPort{v.caller}, Rate: 1, Period: time.Millisecond, Seed: uint64(seed), Callers: []bench.Caller{c},
		})...)
	}
	return results
}

// Guards against a zone without a majority that stops serving, that accepts a
// change or runs a confirmation, or whose return reverts a configuration.
func TestSeparatedZone(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{shards: 2, replicas: 3, vms: 6, coverage: 0.5, zoned: true})
	watch, o := w.watch(), w.operate("c", w.vms[1], w.vms[2], w.vms[4], w.vms[5])
	o.more(t, 5)
	inside := []*vm{w.vms[0], w.vms[3]}
	w.separate(0)
	var results []bench.Result
	for _, v := range inside {
		// The queries under way lose the attempts that went to other zones.
		eventually(t, v.id+" serves from its own upstreams", func() bool {
			results = append(results, w.one(bench.Caller{Wait: time.Second}, 100+len(results), v)...)
			return results[len(results)-1].Complete()
		})
		eventually(t, v.id+" knows that it is cut off", func() bool {
			s, ok := w.status(v)
			return ok && time.Duration(s.MajorityAge) >= isolatedAge
		})
		eventually(t, v.id+" refuses confirmations as majority", func() bool {
			results = append(results, w.one(bench.Caller{Wait: longWait, NonIdempotent: true}, 100+len(results), v)...)
			last := results[len(results)-1].Last()
			if last.Status == http.StatusOK || last.Answer.Ran != "no" {
				t.Errorf("run: got %d %q, ran %q; want a refusal and no", last.Status, last.Answer.Reason, last.Answer.Ran)
			}
			return last.Status == http.StatusServiceUnavailable && last.Answer.Reason == "majority"
		})
		_, err := v.client().PutContract(t.Context(), admin.ChangeHeaders{Operation: "inside" + v.id}, contractOf("inside"+v.id, 1))
		var refused *admin.ResultError
		if !errors.As(err, &refused) || refused.Result.Status != "majority" {
			t.Errorf("a change through %s: got %v, want a refusal as majority", v.id, err)
		}
	}
	o.more(t, 20)
	w.separate(-1)
	o.finish(t)
	w.expectContracts(o, w.vms...)
	for _, v := range inside {
		if c, err := w.vms[1].client().Contract(t.Context(), "inside"+v.id); err == nil {
			t.Errorf("the change of contract %s was refused and is in force", c.Customer)
		}
	}
	watch.end()
	for _, v := range w.vms {
		eventually(t, v.id+" runs confirmations again", func() bool {
			results = append(results, w.one(bench.Caller{Wait: longWait, NonIdempotent: true}, 100+len(results), v)...)
			return results[len(results)-1].Complete()
		})
	}
	w.idle()
	w.check(results)
}

// Guards against a zone that, once cut off, refuses or thins out queries that
// its own upstreams can answer in full.
func TestSeparatedZoneServesItsWholeLoad(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{shards: 2, replicas: 3, vms: 6, coverage: 0.5, zoned: true})
	w.separate(0)
	var results []bench.Result
	eventually(t, "the zone answers its whole load from its own upstreams", func() bool {
		answers := w.load(&bench.OpenLoop{
			Targets: []netip.AddrPort{w.vms[0].caller, w.vms[3].caller}, Rate: 50, Period: 500 * time.Millisecond,
			Seed: uint64(100 + len(results)), Callers: []bench.Caller{{Wait: time.Second}},
		})
		results = append(results, answers...)
		return len(bench.Select(answers, (*bench.Result).Complete)) == len(answers)
	})
	w.idle()
	w.check(results)
}

// Guards against a VM that serves with an old configuration after a restart,
// with a data folder and without one.
func TestRestartedVMServesCurrentConfiguration(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{vms: 6})
	returning := []*vm{w.vms[1], w.vms[5]}
	for _, v := range returning {
		v.kill()
	}
	var operators []*operator
	for n := range 10 {
		operators = append(operators, w.operate(fmt.Sprintf("c%d-", n), w.vms[0], w.vms[2], w.vms[3], w.vms[4]))
	}
	revision := model.Revision(0)
	for _, o := range operators {
		o.more(t, max(0, 50-o.count()))
		o.finish(t)
		revision = max(revision, o.revision)
	}
	for _, v := range returning {
		w.startVM(v)
		w.ready(v)
		if s, ok := w.status(v); !ok || s.Revision < uint64(revision) {
			t.Errorf("%s is ready at revision %d, want at least %d", v.id, s.Revision, revision)
		}
	}
}

// Guards against accepted changes that are lost when a disk VM came back without
// its data folder and others fail right after: with two of five killed, the
// replaced one is needed for every majority.
func TestReplacedDiskVM(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{vms: 6})
	watch, o := w.watch(), w.operate("c", w.vms...)
	o.more(t, 20)
	replaced := w.vms[1]
	replaced.kill()
	if err := os.RemoveAll(filepath.Join(w.dir, replaced.id)); err != nil {
		t.Fatal(err)
	}
	o.more(t, 20)
	w.startVM(replaced)
	w.ready(replaced)
	// Until the new disk has a vote, the old one counts as the first of two losses.
	eventually(t, replaced.id+" votes with its new disk", func() bool {
		notes, err := w.leader().client().Explain(t.Context(), "log")
		return err == nil && slices.ContainsFunc(notes, func(n admin.Note) bool {
			return strings.HasPrefix(n.Action, "added voter "+replaced.id)
		})
	})
	w.leader().kill()
	o.more(t, 20)
	for _, v := range w.vms[:disks] {
		if v != replaced && !v.over() {
			v.kill()
			break
		}
	}
	o.more(t, 20)
	for _, v := range w.vms {
		if v.over() {
			w.startVM(v)
		}
	}
	o.finish(t)
	w.expectContracts(o, w.vms...)
	watch.end()
}

// racer is an operator that races others.
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

// Guards against two racing changes that both win or both lose, and a resend
// that is applied twice or gets another result.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{vms: 6})
	first, err := w.vms[0].client().PutContract(t.Context(), admin.ChangeHeaders{Operation: "first"}, contractOf("raced", 1))
	if err != nil {
		t.Fatal(err)
	}
	current := first.Revision
	for round := range 20 {
		var wg sync.WaitGroup
		racers := make([]*racer, 2)
		for i := range racers {
			racers[i] = &racer{
				vm: w.vms[(round+i*3)%len(w.vms)], contract: contractOf("raced", 2+2*round+i),
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
			again := &racer{vm: w.vms[round%len(w.vms)], change: r.change, contract: r.contract}
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
	w.inForce(model.Revision(current), w.vms...)
	for _, v := range w.vms {
		if c, err := v.client().Contract(t.Context(), "raced"); err != nil || uint64(c.Revision) != current {
			t.Errorf("%s has revision %d of the contract and %v, want %d", v.id, c.Revision, err, current)
		}
	}
}

// Guards against confirmations that run twice, or that are confirmed and lost,
// when VMs die, a zone is cut off and callers send again through other VMs.
func TestConfirmationsUnderKillsAndCuts(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{shards: 2, replicas: 3, vms: 7, coverage: 1, zoned: true, upstream: []string{"--service", "5ms"}})
	b := w.begin(&bench.OpenLoop{
		Rate: 60, Period: 6 * time.Second, Seed: 24, Callers: []bench.Caller{{Wait: time.Second, NonIdempotent: true, MaxResends: 6}},
	})
	running := func(more int) {
		runs := func() (n int) {
			for _, u := range w.upstreams {
				n += len(w.log(u).Runs)
			}
			return n
		}
		want := runs() + more
		eventually(t, "confirmations run", func() bool { return runs() >= want })
	}
	running(20)
	w.vms[6].kill()
	running(20)
	w.separate(1)
	running(20)
	w.separate(-1)
	leader := w.leader()
	leader.kill()
	running(20)
	w.startVM(w.vms[6])
	w.startVM(leader)
	results := b.wait()
	report := w.check(results)
	if report.Confirmed == 0 {
		t.Error("nothing was confirmed, so the test shows nothing")
	}
	t.Logf("confirmed %d of %d, doubled %d, lost %d", report.Confirmed, len(results), report.DuplicateRuns, report.LostRuns)
}

// Guards against a request that runs again when its key is sent after the
// retention, by when the ledger may have forgotten it.
func TestResendAfterRetention(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{shards: 1, replicas: 1, vms: 3, coverage: 1, retention: "2s"})
	key := model.NewKey(time.Now(), [10]byte{1})
	send := func(v *vm) (status int, answer bench.Answer) {
		status, raw, err := w.exchange(http.MethodPost, v.caller, "/v1/run", `{"index":"`+index+`","query":{"n":1}}`, map[string]string{
			"Authorization": "Bearer " + customer + "." + secret, "Wait": "1s", "Idempotency-Key": key.String(),
		})
		if err != nil || json.Unmarshal(raw, &answer) != nil {
			t.Fatalf("got %v and %q", err, raw)
		}
		return status, answer
	}
	eventually(t, "the resend is refused", func() bool {
		status, answer := send(w.vms[0])
		return status == http.StatusGone && answer.Reason == "expired"
	})
	for _, v := range w.vms {
		if status, answer := send(v); status != http.StatusGone || answer.Reason != "expired" {
			t.Errorf("%s: got %d %q, want 410 expired", v.id, status, answer.Reason)
		}
	}
	if n := len(w.log(w.upstreams[0]).Runs); n > 1 {
		t.Errorf("the request ran %d times, want once at most", n)
	}
}

// Guards against a leader that cuts off requests or changes when it shuts down.
func TestTerminatedLeaderCutsOffNothing(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{shards: 2, replicas: 2, vms: 6, coverage: 1, upstream: []string{"--service", "1s", "--slots", "20"}})
	leader := w.leader()
	others := slices.DeleteFunc(slices.Clone(w.vms), func(v *vm) bool { return v == leader })
	o := w.operate("c", w.vms...)
	o.more(t, 10)
	// All are sent long before the first of them can be answered.
	b := w.begin(&bench.OpenLoop{
		Targets: []netip.AddrPort{leader.caller, leader.caller, others[0].caller}, Rate: 1000, Period: 20 * time.Millisecond, Seed: 25,
		Callers: []bench.Caller{{Name: "query", Wait: longWait}, {Name: "run", Wait: longWait, NonIdempotent: true}},
	})
	eventually(t, "requests in flight", func() bool {
		n := 0
		for _, u := range w.upstreams {
			n += w.report(u).InFlight
		}
		return n >= 4
	})
	leader.terminate()
	if status := leader.exit(); status != 0 {
		t.Errorf("exit status %d, want 0", status)
	}
	if _, ok := leader.find("drained"); !ok {
		t.Error("the leader did not log that it had drained")
	}
	o.more(t, 10)
	results := b.wait()
	o.finish(t)
	w.expectContracts(o, others...)
	w.check(results)
	answered := 0
	for i := range results {
		switch last := results[i].Last(); last.Status {
		case 0:
			t.Errorf("a request through %v was cut off", last.Target)
		case http.StatusOK:
			answered++
		}
	}
	if answered == 0 {
		t.Error("no request was answered, so the test shows nothing")
	}
}

// Guards against a fleet that cannot talk over mutual TLS, and a bad key on
// SIGHUP that ends the use of the old one.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	w := newWorld(t, layout{vms: 4, tls: true})
	o := w.operate("c", w.vms...)
	o.more(t, 10)
	v := w.vms[0]
	for name, keys := range map[string]*tls.Config{"plain HTTP": nil, "no certificate": {InsecureSkipVerify: true}} {
		if _, err := (&admin.Client{Addr: v.admin, TLS: keys}).FleetStatus(t.Context(), false); err == nil {
			t.Errorf("%s: got an answer at the operators' listener, want none", name)
		}
	}
	good, err := os.ReadFile(filepath.Join(w.dir, v.id+".key"))
	if err != nil {
		t.Fatal(err)
	}
	for key, message := range map[string]string{"bad": "keys not reloaded; the old ones stay in use", string(good): "keys reloaded"} {
		w.write(v.id+".key", key)
		if err := v.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		eventually(t, message, func() bool { _, ok := v.find(message); return ok })
		// The restarted VM needs new connections in both directions.
		w.vms[1].kill()
		w.startVM(w.vms[1])
		w.ready(w.vms[1])
		o.more(t, 10)
	}
	o.finish(t)
	w.expectContracts(o, w.vms...)
}
