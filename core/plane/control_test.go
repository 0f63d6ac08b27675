package plane_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
	"comfreypulley/core/plane"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeLog is a log whose test decides who leads and what commits.
type fakeLog struct {
	plane.Replicator
	standing  plane.Standing
	refuse    bool // appends nothing
	last      uint64
	appended  []entry.Entry
	image     *entry.Image
	committed []entry.Entry
	reads     []uint64
	wanted    []model.VMID
	images    []entry.Image
	resigned  bool
}

func (l *fakeLog) Standing() plane.Standing { return l.standing }

func (l *fakeLog) Propose(at time.Time, c entry.Command, out []effect.Effect) (uint64, entry.Status, []effect.Effect) {
	if !l.standing.Leading || l.refuse {
		return 0, entry.StatusNoMajority, out
	}
	l.last++
	l.appended = append(l.appended, entry.Entry{Index: l.last, Term: l.standing.Term, At: at, Command: c})
	return l.last, entry.StatusOK, out
}

func (l *fakeLog) Synced(_ time.Time, _ event.DiskSynced, out []effect.Effect) []effect.Effect {
	return out
}

func (l *fakeLog) Loaded(
	_ time.Time, _ model.VMID, _ uint64, _ []model.VMID, loaded event.DiskLoaded, out []effect.Effect,
) []effect.Effect {
	l.image = &loaded.Image
	return out
}

func (l *fakeLog) DiskFailed(_ time.Time, _ event.DiskFailed, out []effect.Effect) []effect.Effect {
	l.standing = plane.Standing{Heard: l.standing.Heard}
	return append(out, effect.Note{Subject: "log", Action: "replica stopped"}, effect.SendMessage{To: "vm1", Message: frame.AppendRequest{}})
}

func (l *fakeLog) Confirm(_ time.Time, n uint64, out []effect.Effect) (entry.Status, []effect.Effect) {
	l.reads = append(l.reads, n)
	return entry.StatusOK, out
}

func (l *fakeLog) Confirmed() []uint64 {
	defer func() { l.reads = nil }()
	return l.reads
}

func (l *fakeLog) Committed() (*entry.Image, []entry.Entry) {
	image, entries := l.image, l.committed
	l.image, l.committed = nil, nil
	return image, entries
}

func (l *fakeLog) Compact(_ time.Time, image entry.Image, out []effect.Effect) []effect.Effect {
	l.images = append(l.images, image)
	return out
}

func (l *fakeLog) Want(_ time.Time, replicas []model.VMID, out []effect.Effect) []effect.Effect {
	l.wanted = replicas
	return out
}

func (l *fakeLog) Resign(_ time.Time, out []effect.Effect) []effect.Effect {
	l.resigned = true
	l.standing.Leading = false
	return out
}

// fixture is the control state of a VM of a fleet with two disks: vm0 and vm1.
type fixture struct {
	c   plane.Control
	log *fakeLog
	now time.Time
	due time.Time // of the proposals' timer
	out []effect.Effect
}

func fleet(disks bool) *model.Topology {
	peer := func(n uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), n) }
	return &model.Topology{
		Contracts: map[string]model.Contract{"acme": contract()},
		VMs: map[model.VMID]model.VM{
			"vm0": {ID: "vm0", Zone: "a", PeerAddr: peer(1), HasDisk: disks},
			"vm1": {ID: "vm1", Zone: "b", PeerAddr: peer(2), HasDisk: disks},
			"vm2": {ID: "vm2", Zone: "b", PeerAddr: peer(3)},
		},
	}
}

func contract() model.Contract {
	return model.Contract{
		Customer: "acme", Indexes: []string{"pairing"}, Concurrency: 30, Capacity: 1, Retention: time.Hour,
		Classes: []model.Class{{Name: "now", Wait: 50 * time.Millisecond, Price: 5, Weight: 1}},
	}
}

func newFixture(id model.VMID, disks bool) *fixture {
	f := &fixture{now: began}
	vm := fleet(disks).VMs[id]
	if vm.HasDisk {
		f.log = &fakeLog{}
		f.c.Replicate(f.log)
	}
	f.take(f.c.Start(f.now, event.Start{Role: event.RoleControl, VM: vm, ProcessStart: began, Loops: 1, InitialConfig: fleet(disks)}, nil))
	return f
}

// take keeps the effects and the timer in them.
func (f *fixture) take(out []effect.Effect) []effect.Effect {
	f.out = out
	for _, t := range all[effect.SetTimer](out) {
		f.due = t.At
	}
	return out
}

// lead makes the VM the leader of a term.
func (f *fixture) lead(term uint64) {
	f.log.standing = plane.Standing{Leader: "vm0", Leading: true, Term: term, Heard: f.now}
	f.synced()
}

func (f *fixture) synced() []effect.Effect {
	return f.take(f.c.Synced(f.now, event.DiskSynced{}, nil))
}

// commit commits everything appended.
func (f *fixture) commit() []effect.Effect {
	f.log.committed, f.log.appended = f.log.appended, nil
	return f.synced()
}

// run fires the proposals' timer until a time and collects the effects.
func (f *fixture) run(until time.Time) []effect.Effect {
	var all []effect.Effect
	for !f.due.IsZero() && !f.due.After(until) {
		f.now = f.due
		f.due = time.Time{}
		all = append(all, f.take(f.c.Timer(f.now, event.TimerID{Kind: event.TimerPropose}, nil))...)
	}
	f.now = until
	return all
}

func (f *fixture) claim(wait time.Duration) []effect.Effect {
	return f.take(f.c.Propose(f.now, event.ProposeRequest{Request: 7, Deadline: f.now.Add(wait), Command: entry.Claim{
		Customer: "acme", Key: model.NewKey(f.now, [10]byte{1}), Holder: entry.Holder{VM: "vm2"}, Retention: time.Hour,
	}}, nil))
}

func (f *fixture) returned(n uint64, r entry.Result) []effect.Effect {
	return f.take(f.c.Peer(f.now, event.PeerMessage{From: "vm0", Message: frame.ProposeResponse{Seq: n, Result: r}}, nil))
}

func all[T effect.Effect](out []effect.Effect) []T {
	var found []T
	for _, e := range out {
		if e, ok := e.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

// answers returns what traffic states were told of their proposals.
func answers(out []effect.Effect) []entry.Status {
	var found []entry.Status
	for _, e := range all[effect.ToTraffic](out) {
		if p, ok := e.Body.(event.ProposeResponse); ok {
			found = append(found, p.Result.Status)
		}
	}
	return found
}

func views(out []effect.Effect) []event.View {
	var found []event.View
	for _, e := range all[effect.ToTraffic](out) {
		if v, ok := e.Body.(event.View); ok {
			found = append(found, v)
		}
	}
	return found
}

// forwards returns the commands sent to other VMs.
func forwards(out []effect.Effect) (to []model.VMID, ns []uint64) {
	for _, e := range all[effect.SendMessage](out) {
		if p, ok := e.Message.(frame.ProposeRequest); ok {
			to, ns = append(to, e.To), append(ns, p.Seq)
		}
	}
	return to, ns
}

// Guards against a VM that serves its fleet file although the fleet has a log,
// and against a genesis in pieces or proposed twice.
func TestGenesisComesFromTheLog(t *testing.T) {
	plain := newFixture("vm2", false)
	if got := len(views(plain.out)); got != 1 {
		t.Errorf("a fleet without disks published %d views, want 1", got)
	}
	f := newFixture("vm0", true)
	if got := len(views(f.out)); got != 0 {
		t.Fatalf("published %d views before the log had a configuration, want 0", got)
	}
	f.lead(1)
	f.synced()
	if got := len(f.log.appended); got != 1 {
		t.Fatalf("the leader appended %d entries, want the genesis only", got)
	}
	published := views(f.commit())
	if len(published) != 1 || published[0].Topology.Revision != 1 || len(published[0].Topology.VMs) != 3 {
		t.Fatalf("got views %+v, want one with the whole fleet at revision 1", published)
	}
	if got, want := f.log.wanted, []model.VMID{"vm0", "vm1"}; !slices.Equal(got, want) {
		t.Errorf("wanted replicas %v, want %v", got, want)
	}
	f.log.standing.Leading = false
	f.synced()
	f.lead(3)
	if got := len(f.log.appended); got != 0 {
		t.Errorf("a later leader appended %d entries to a log with a configuration, want 0", got)
	}
}

// Guards against a refusal that says "not run" while the claim may commit, and
// against one that leaves a doubt without need.
func TestClaimWithoutMajority(t *testing.T) {
	f := newFixture("vm2", true)
	f.claim(time.Second)
	if got := answers(f.run(began.Add(time.Second))); !slices.Equal(got, []entry.Status{entry.StatusUnknown}) {
		t.Errorf("a forward without an answer gave %v, want unknown", got)
	}
	f = newFixture("vm2", true)
	out := f.claim(time.Second)
	for {
		_, ns := forwards(out)
		for _, n := range ns {
			f.returned(n, entry.Result{Status: entry.StatusNotLeader})
		}
		if !f.due.Before(began.Add(time.Second)) {
			break
		}
		out = f.run(f.due)
	}
	if got := answers(f.run(began.Add(time.Second))); !slices.Equal(got, []entry.Status{entry.StatusNoMajority}) {
		t.Errorf("refused forwards gave %v, want majority", got)
	}
	f = newFixture("vm0", true)
	f.lead(1)
	f.log.refuse = true
	f.claim(time.Second)
	if got := answers(f.run(began.Add(time.Second))); !slices.Equal(got, []entry.Status{entry.StatusNoMajority}) {
		t.Errorf("a leader without a majority gave %v, want majority", got)
	}
	f.log.refuse = false
	f.claim(time.Second)
	if got := answers(f.run(began.Add(3 * time.Second))); !slices.Equal(got, []entry.Status{entry.StatusUnknown}) {
		t.Errorf("an uncommitted entry gave %v, want unknown", got)
	}
}

// Guards against commands that get lost when the leader changes: they are sent
// to the leader named in the answer and again when no answer comes.
func TestForwardFindsLeader(t *testing.T) {
	f := newFixture("vm2", true)
	to, ns := forwards(f.claim(time.Minute))
	if len(to) != 1 {
		t.Fatalf("sent to %v, want one disk VM", to)
	}
	f.returned(ns[0], entry.Result{Status: entry.StatusNotLeader, Leader: "vm1"})
	to, ns = forwards(f.run(f.now.Add(50 * time.Millisecond)))
	if !slices.Equal(to, []model.VMID{"vm1"}) {
		t.Fatalf("after a redirect sent to %v, want vm1", to)
	}
	to, _ = forwards(f.run(f.now.Add(time.Second)))
	if len(to) == 0 {
		t.Fatal("a forward without an answer was not sent again")
	}
	if got := answers(f.returned(ns[0], entry.Result{Status: entry.StatusOK})); !slices.Equal(got, []entry.Status{entry.StatusOK}) {
		t.Fatalf("got answers %v, want ok", got)
	}
	if got := answers(f.run(f.now.Add(time.Hour))); len(got) != 0 {
		t.Errorf("got a second answer %v", got)
	}
}

// Guards against an answer to the wrong command when another leader's entry
// took the place of an appended one.
func TestEntryReplacedByAnotherLeader(t *testing.T) {
	f := newFixture("vm0", true)
	f.lead(1)
	f.commit()
	f.claim(time.Second)
	lost := f.log.appended[0]
	f.log.appended = nil
	f.log.standing = plane.Standing{Leader: "vm1", Term: 2}
	f.log.committed = []entry.Entry{{Index: lost.Index, Term: 2, At: f.now, Command: entry.Noop{}}}
	if got := answers(f.synced()); len(got) != 0 {
		t.Fatalf("the other leader's entry answered %v", got)
	}
	to, ns := forwards(f.run(f.now.Add(10 * time.Millisecond)))
	if !slices.Equal(to, []model.VMID{"vm1"}) {
		t.Fatalf("sent to %v, want the new leader", to)
	}
	f.returned(ns[0], entry.Result{Status: entry.StatusNotLeader})
	if got := answers(f.returned(ns[0], entry.Result{Status: entry.StatusOK})); len(got) != 0 {
		t.Errorf("a second answer of one forward counted: %v", got)
	}
}

// Guards against a forwarded command that is answered before it is committed,
// or appended by a VM that does not lead.
func TestForwardedCommand(t *testing.T) {
	f := newFixture("vm0", true)
	v := contract()
	v.Concurrency = 60
	ask := event.PeerMessage{From: "vm2", Message: frame.ProposeRequest{Seq: 5, Command: entry.Change{Op: "op", ExpectedRevision: 1, Contract: &v}}}
	proposed := func(out []effect.Effect) []frame.ProposeResponse {
		var found []frame.ProposeResponse
		for _, e := range all[effect.SendMessage](out) {
			if p, ok := e.Message.(frame.ProposeResponse); ok && e.To == "vm2" {
				found = append(found, p)
			}
		}
		return found
	}
	f.log.standing.Leader = "vm1"
	if got := proposed(f.take(f.c.Peer(f.now, ask, nil))); len(got) != 1 || got[0].Result.Status != entry.StatusNotLeader || got[0].Result.Leader != "vm1" {
		t.Fatalf("got %+v, want the leader's name", got)
	}
	f.lead(1)
	f.commit()
	f.take(f.c.Peer(f.now, ask, nil))
	if got := len(f.log.appended); got != 0 {
		t.Fatalf("a copy of a refused command appended %d entries, want 0", got)
	}
	ask.Message = frame.ProposeRequest{Seq: 6, Command: entry.Change{Op: "op", ExpectedRevision: 1, Contract: &v}}
	if got := proposed(f.take(f.c.Peer(f.now, ask, nil))); len(got) != 0 {
		t.Fatalf("answered %+v before the commit", got)
	}
	out := f.commit()
	if got := proposed(out); len(got) != 1 || got[0].Seq != 6 || got[0].Result != (entry.Result{Status: entry.StatusOK, Revision: 2}) {
		t.Fatalf("got %+v, want ok at revision 2", got)
	}
	if got := views(out); len(got) != 1 || got[0].Topology.Contracts["acme"].Concurrency != 60 {
		t.Errorf("got views %+v, want the changed contract", got)
	}
}

// Guards against an operator who is told that an old configuration is current.
func TestInquiry(t *testing.T) {
	f := newFixture("vm0", true)
	current := func(out []effect.Effect) (answered, current bool) {
		for _, r := range all[effect.AnswerOperator](out) {
			return true, r.Status.Current
		}
		return false, false
	}
	f.lead(1)
	f.commit()
	f.now = f.now.Add(time.Second)
	out := f.take(f.c.Inquiry(f.now, event.StatusRequest{Seq: 1, Linearizable: true}, nil))
	if got, isCurrent := current(out); !got || !isCurrent {
		t.Errorf("a confirmed read is answered %v, current %v", got, isCurrent)
	}
	if got, want := all[effect.AnswerOperator](out)[0].Status.MajorityAge, time.Second; got != want {
		t.Errorf("got age %v, want %v", got, want)
	}
	if got := len(all[effect.AnswerOperator](out)[0].Status.History); got == 0 {
		t.Error("the history is empty after a change of leader and a genesis")
	}
	other := newFixture("vm2", true)
	other.take(other.c.Inquiry(other.now, event.StatusRequest{Seq: 2, Linearizable: true}, nil))
	if got, isCurrent := current(other.run(other.now.Add(time.Minute))); !got || isCurrent {
		t.Errorf("a read without a leader is answered %v, current %v", got, isCurrent)
	}
}

// Guards against a log that grows without bound and an image that does not
// stand for the entries it replaces.
func TestCompaction(t *testing.T) {
	f := newFixture("vm0", true)
	f.lead(1)
	for range 5000 {
		f.claim(time.Minute)
	}
	f.commit()
	if got := len(f.log.images); got != 1 {
		t.Fatalf("took %d images, want 1", got)
	}
	image := f.log.images[0]
	if image.Index != 5001 || image.Config.Revision != 1 || len(image.Ledger) != 1 {
		t.Errorf("got an image at %d with revision %d and %d keys", image.Index, image.Config.Revision, len(image.Ledger))
	}
	other := newFixture("vm1", true)
	other.log.image = &image
	if got := views(other.synced()); len(got) != 1 {
		t.Errorf("an installed image published %d views, want 1", len(got))
	}
}

// Guards against a VM that stops before it handed over and answered.
func TestDrain(t *testing.T) {
	f := newFixture("vm0", true)
	f.lead(1)
	f.commit()
	f.claim(time.Minute)
	out := f.take(f.c.Drain(f.now, nil))
	if !f.log.resigned || len(all[effect.Drained](out)) != 0 {
		t.Fatalf("resigned %v, drained with a claim without an answer: %v", f.log.resigned, all[effect.Drained](out))
	}
	if out = f.commit(); len(all[effect.Drained](out)) != 1 || len(answers(out)) != 1 {
		t.Errorf("got %v, want the answer and the end of the drain", out)
	}
}

// Guards against a VM with a broken disk that keeps an old configuration: it
// follows the tree from then on. Guards too against a log whose messages have no
// address and whose notes are missing in the history.
func TestDiskFailed(t *testing.T) {
	f := newFixture("vm0", true)
	f.lead(1)
	f.commit()
	out := f.take(f.c.DiskFailed(f.now, event.DiskFailed{Problem: "no space"}, nil))
	if got := all[effect.SendMessage](out); len(got) != 1 || !got[0].Addr.IsValid() {
		t.Errorf("got messages %+v, want one with an address", got)
	}
	status := all[effect.AnswerOperator](f.c.Inquiry(f.now, event.StatusRequest{}, nil))[0].Status
	if !slices.ContainsFunc(status.History, func(n effect.Note) bool { return n.Action == "replica stopped" }) {
		t.Errorf("got history %+v, want the log's note", status.History)
	}
	follower := f.c.Follower()
	image := follower.Image()
	image.Revision = 9
	follower.Restore(image)
	if got := follower.Revision(); got != 9 {
		t.Errorf("got revision %d, want 9", got)
	}
	if to, _ := forwards(f.claim(time.Second)); !slices.Equal(to, []model.VMID{"vm1"}) {
		t.Errorf("sent the claim to %v, want vm1", to)
	}
}

// Guards against a restarted VM that serves an older configuration than before:
// entries after the image may have been in force.
func TestRestartDoesNotGoBack(t *testing.T) {
	first := newFixture("vm0", true)
	first.lead(1)
	first.commit()
	image := entry.Image{Index: 1, Term: 1, Config: first.c.Follower().Image()}
	v := contract()
	change := entry.Entry{Index: 2, Term: 1, At: began, Command: entry.Change{ExpectedRevision: 1, Contract: &v}}
	uncommitted := entry.Entry{Index: 3, Term: 1, At: began, Command: entry.Noop{}}
	for name, next := range map[string][]entry.Entry{
		"the same entries":           {change, uncommitted},
		"an entry of a later leader": {change, {Index: 3, Term: 2, At: began, Command: entry.Noop{}}},
	} {
		f := newFixture("vm0", true)
		f.take(f.c.Loaded(f.now, event.DiskLoaded{Image: image, Entries: []entry.Entry{change, uncommitted}}, nil))
		f.log.committed = next[:1]
		if got := len(views(append(f.out, f.synced()...))); got != 0 {
			t.Fatalf("%s: published %d views before they were applied, want 0", name, got)
		}
		f.log.committed = next[1:]
		// Without a leader the VM serves what it has after a while.
		got := views(append(f.synced(), f.run(f.now.Add(6*time.Second))...))
		if len(got) != 1 || got[0].Topology.Revision != 2 {
			t.Errorf("%s: got views %+v, want one at revision 2", name, got)
		}
	}
}

// Guards against a restarted VM that serves what it had while it still misses
// changes from the time when it was away.
func TestRestartWaitsForMissedEntries(t *testing.T) {
	first := newFixture("vm0", true)
	first.lead(1)
	first.commit()
	f := newFixture("vm0", true)
	f.log.standing = plane.Standing{Leader: "vm1", Term: 2, Heard: f.now, Known: 2}
	image := entry.Image{Index: 1, Term: 1, Config: first.c.Follower().Image()}
	f.take(f.c.Loaded(f.now, event.DiskLoaded{Image: image}, nil))
	if got := len(views(f.out)); got != 0 {
		t.Fatalf("published %d views while behind the leader, want 0", got)
	}
	_, asked := forwards(f.out)
	if len(asked) != 1 {
		t.Fatalf("asked the leader %d times what is committed, want once", len(asked))
	}
	v := contract()
	f.log.committed = []entry.Entry{{Index: 2, Term: 2, At: began, Command: entry.Change{ExpectedRevision: 1, Contract: &v}}}
	if got := len(views(f.synced())); got != 0 {
		t.Fatalf("published %d views before the leader said what is committed, want 0", got)
	}
	answer := frame.ProposeResponse{Seq: asked[0], Result: entry.Result{Status: entry.StatusOK, Revision: 2}}
	if got := views(f.take(f.c.Peer(f.now, event.PeerMessage{From: "vm1", Message: answer}, nil))); len(got) != 1 || got[0].Topology.Revision != 2 {
		t.Errorf("got views %+v, want one at revision 2", got)
	}
}

// Guards against a restarted VM that takes a message which its leader sent before
// the restart for the present state: a change committed meanwhile is waited for.
func TestRestartIgnoresOldLeaderMessages(t *testing.T) {
	first := newFixture("vm0", true)
	first.lead(1)
	first.commit()
	image := entry.Image{Index: 1, Term: 1, Config: first.c.Follower().Image()}
	f := newFixture("vm0", true)
	f.log.standing = plane.Standing{Leader: "vm1", Term: 1, Heard: f.now, Known: 1}
	f.take(f.c.Loaded(f.now, event.DiskLoaded{Image: image}, nil))
	_, asked := forwards(f.out)
	answer := frame.ProposeResponse{Seq: asked[0], Result: entry.Result{Status: entry.StatusOK, Revision: 2}}
	if got := len(views(f.take(f.c.Peer(f.now, event.PeerMessage{From: "vm1", Message: answer}, nil)))); got != 0 {
		t.Fatalf("published %d views of revision 1 while 2 is committed, want 0", got)
	}
	v := contract()
	f.log.committed = []entry.Entry{{Index: 2, Term: 1, At: began, Command: entry.Change{ExpectedRevision: 1, Contract: &v}}}
	if got := views(f.synced()); len(got) != 1 || got[0].Topology.Revision != 2 {
		t.Errorf("got views %+v, want one at revision 2", got)
	}
}

// Guards against a command that a VM sends into a partition, where it may be
// applied after its caller was told otherwise.
func TestIsolatedVMRefusesAtOnce(t *testing.T) {
	f := newFixture("vm0", true)
	f.lead(1)
	f.commit()
	f.log.standing = plane.Standing{Term: 1, Heard: f.now}
	f.now = f.now.Add(time.Minute)
	out := f.claim(time.Second)
	if to, _ := forwards(out); len(to) != 0 {
		t.Errorf("sent the claim to %v, want nobody", to)
	}
	if got := answers(out); !slices.Equal(got, []entry.Status{entry.StatusNoMajority}) {
		t.Errorf("got %v, want majority at once", got)
	}
}

// Guards against a VM whose disk had failed, and which served from the tree
// what its data folder lacks, that goes back behind it after its restart: it
// waits for what the leader says is committed, and for an entry of its term.
func TestFirstViewWaitsForTheLeadersCommit(t *testing.T) {
	f := newFixture("vm1", true)
	g := entry.Config{VMs: []model.VM{fleet(true).VMs["vm0"], fleet(true).VMs["vm1"]}}
	f.log.standing = plane.Standing{Leader: "vm0", Term: 2, Known: 1}
	f.log.committed = []entry.Entry{{Index: 1, Term: 1, At: began, Command: entry.Change{InitialConfig: &g}}}
	if got := len(all[effect.ToTraffic](f.synced())); got != 0 {
		t.Errorf("got %d views before an entry of the leader's term, want none", got)
	}
	f.log.standing.Known = 3
	f.log.committed = []entry.Entry{{Index: 2, Term: 2, At: began, Command: entry.Noop{}}}
	if got := len(all[effect.ToTraffic](f.synced())); got != 0 {
		t.Errorf("got %d views before all that is committed is applied, want none", got)
	}
	f.log.committed = []entry.Entry{{Index: 3, Term: 2, At: began, Command: entry.Noop{}}}
	if got := len(all[effect.ToTraffic](f.synced())); got != 1 {
		t.Errorf("got %d views of what is committed, want 1", got)
	}
}
