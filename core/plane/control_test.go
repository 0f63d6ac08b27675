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

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeLog is a log whose test decides who leads and which entries commit.
type fakeLog struct {
	plane.Replicator
	status         plane.LogStatus
	refuseAppends  bool // Propose appends nothing, as without a majority
	lastIndex      uint64
	appended       []entry.Entry
	image          *entry.Image
	initialVoters  []model.VMID
	committed      []entry.Entry
	confirmedReads []uint64
	replicas       []model.VMID
	images         []entry.Image
	resigned       bool
	slowHandover   bool // Resign leaves this VM leading until the test ends that
}

func (l *fakeLog) LogStatus() plane.LogStatus { return l.status }

func (l *fakeLog) Propose(at time.Time, c entry.Command, out []effect.Effect) (uint64, entry.Status, []effect.Effect) {
	if !l.status.Leading || l.refuseAppends {
		return 0, entry.StatusNoMajority, out
	}
	l.lastIndex++
	l.appended = append(l.appended, entry.Entry{Index: l.lastIndex, Term: l.status.Term, At: at, Command: c})
	return l.lastIndex, entry.StatusOK, out
}

func (l *fakeLog) HandleDiskSynced(_ time.Time, _ event.DiskSynced, out []effect.Effect) []effect.Effect {
	return out
}

func (l *fakeLog) HandleDiskLoaded(
	_ time.Time, _ model.VMID, _ uint64, initialVoters []model.VMID, _ bool, loaded event.DiskLoaded, out []effect.Effect,
) []effect.Effect {
	l.image, l.initialVoters = &loaded.Image, initialVoters
	return out
}

func (l *fakeLog) HandleDiskFailed(_ time.Time, _ event.DiskFailed, out []effect.Effect) []effect.Effect {
	l.status = plane.LogStatus{LastMajority: l.status.LastMajority}
	return append(out, effect.Note{Subject: "log", Action: "replica stopped"}, effect.SendMessage{To: "vm1", Message: frame.AppendRequest{}})
}

func (l *fakeLog) Confirm(_ time.Time, n uint64, out []effect.Effect) (entry.Status, []effect.Effect) {
	l.confirmedReads = append(l.confirmedReads, n)
	return entry.StatusOK, out
}

func (l *fakeLog) Confirmed() []uint64 {
	defer func() { l.confirmedReads = nil }()
	return l.confirmedReads
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

func (l *fakeLog) SetReplicas(_ time.Time, replicas []model.VMID, out []effect.Effect) []effect.Effect {
	l.replicas = replicas
	return out
}

func (l *fakeLog) Resign(_ time.Time, out []effect.Effect) []effect.Effect {
	l.resigned = true
	l.status.Leading = l.slowHandover
	return out
}

// fixture is the control state of a VM in a fleet with two disk VMs, vm0 and vm1,
// and the entry VM vm2.
type fixture struct {
	control  plane.Control
	log      *fakeLog
	now      time.Time
	timerDue time.Time // of the proposals' timer
	effects  []effect.Effect
}

func fleetTopology(disks bool) *model.Topology {
	peer := func(n uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), n) }
	return &model.Topology{
		Contracts: map[string]model.Contract{"acme": acmeContract()},
		VMs: map[model.VMID]model.VM{
			"vm0": {ID: "vm0", Zone: "a", PeerAddr: peer(1), HasDisk: disks},
			"vm1": {ID: "vm1", Zone: "b", PeerAddr: peer(2), HasDisk: disks},
			"vm2": {ID: "vm2", Zone: "b", PeerAddr: peer(3)},
		},
	}
}

func acmeContract() model.Contract {
	return model.Contract{
		Customer: "acme", Indexes: []string{"pairing"}, Concurrency: 30, Capacity: 1, Retention: time.Hour,
		Classes: []model.Class{{Name: "now", Wait: 50 * time.Millisecond, Price: 5, Weight: 1}},
	}
}

func newFixture(id model.VMID, disks bool) *fixture {
	f := &fixture{now: startTime}
	vm := fleetTopology(disks).VMs[id]
	if vm.HasDisk {
		f.log = &fakeLog{}
		f.control.SetLog(f.log)
	}
	f.record(f.control.Start(f.now, event.Start{
		Role: event.RoleControl, VM: vm, ProcessStart: startTime, Loops: 1, InitialConfig: fleetTopology(disks),
	}, nil))
	return f
}

// record keeps the effects and the time of the timer in them.
func (f *fixture) record(out []effect.Effect) []effect.Effect {
	f.effects = out
	for _, t := range effectsOf[effect.SetTimer](out) {
		f.timerDue = t.At
	}
	return out
}

// becomeLeader makes the VM the leader of a term.
func (f *fixture) becomeLeader(term uint64) {
	f.log.status = plane.LogStatus{Leader: "vm0", Leading: true, Term: term, LastMajority: f.now}
	f.diskSynced()
}

func (f *fixture) diskSynced() []effect.Effect {
	return f.record(f.control.HandleDiskSynced(f.now, event.DiskSynced{}, nil))
}

// commitAll commits all appended entries.
func (f *fixture) commitAll() []effect.Effect {
	f.log.committed, f.log.appended = f.log.appended, nil
	return f.diskSynced()
}

// runTimer fires the proposals' timer until a time and collects the effects.
func (f *fixture) runTimer(until time.Time) []effect.Effect {
	var all []effect.Effect
	for !f.timerDue.IsZero() && !f.timerDue.After(until) {
		f.now = f.timerDue
		f.timerDue = time.Time{}
		all = append(all, f.record(f.control.HandleTimer(f.now, event.TimerID{Kind: event.TimerPropose}, nil))...)
	}
	f.now = until
	return all
}

func (f *fixture) proposeClaim(wait time.Duration) []effect.Effect {
	return f.record(f.control.HandleProposeRequest(f.now, event.ProposeRequest{Request: 7, Deadline: f.now.Add(wait), Command: entry.Claim{
		Customer: "acme", Key: model.NewKey(f.now, [10]byte{1}), Holder: entry.ClaimHolder{VM: "vm2"}, Retention: time.Hour,
	}}, nil))
}

func (f *fixture) answerForward(n uint64, r entry.Result) []effect.Effect {
	return f.record(f.control.HandlePeerMessage(f.now, event.PeerMessage{From: "vm0", Message: frame.ProposeResponse{Seq: n, Result: r}}, nil))
}

func effectsOf[T effect.Effect](out []effect.Effect) []T {
	var found []T
	for _, e := range out {
		if e, ok := e.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

// proposalStatuses returns the results that the traffic states received for
// their proposals.
func proposalStatuses(out []effect.Effect) []entry.Status {
	var found []entry.Status
	for _, e := range effectsOf[effect.ToTraffic](out) {
		if p, ok := e.Body.(event.ProposeResponse); ok {
			found = append(found, p.Result.Status)
		}
	}
	return found
}

func viewsIn(out []effect.Effect) []event.View {
	var found []event.View
	for _, e := range effectsOf[effect.ToTraffic](out) {
		if v, ok := e.Body.(event.View); ok {
			found = append(found, v)
		}
	}
	return found
}

// forwardsIn returns the commands sent to other VMs: the receivers and the
// numbers of the messages.
func forwardsIn(out []effect.Effect) (to []model.VMID, ns []uint64) {
	for _, e := range effectsOf[effect.SendMessage](out) {
		if p, ok := e.Message.(frame.ProposeRequest); ok {
			to, ns = append(to, e.To), append(ns, p.Seq)
		}
	}
	return to, ns
}

// Guards against a VM that serves the configuration in its settings although the
// fleet has a log, and against an initial configuration that is proposed in parts
// or twice.
func TestInitialConfigComesFromTheLog(t *testing.T) {
	withoutDisks := newFixture("vm2", false)
	if got := len(viewsIn(withoutDisks.effects)); got != 1 {
		t.Errorf("a fleet without disks published %d views, want 1", got)
	}
	f := newFixture("vm0", true)
	if got := len(viewsIn(f.effects)); got != 0 {
		t.Fatalf("published %d views before the log had a configuration, want 0", got)
	}
	f.becomeLeader(1)
	f.diskSynced()
	if got := len(f.log.appended); got != 1 {
		t.Fatalf("the leader appended %d entries, want only the initial configuration", got)
	}
	published := viewsIn(f.commitAll())
	if len(published) != 1 || published[0].Topology.Revision != 1 || len(published[0].Topology.VMs) != 3 {
		t.Fatalf("got views %+v, want one with the whole fleet at revision 1", published)
	}
	if got, want := f.log.replicas, []model.VMID{"vm0", "vm1"}; !slices.Equal(got, want) {
		t.Errorf("wanted replicas %v, want %v", got, want)
	}
	f.log.status.Leading = false
	f.diskSynced()
	f.becomeLeader(3)
	if got := len(f.log.appended); got != 0 {
		t.Errorf("a later leader appended %d entries to a log with a configuration, want 0", got)
	}
}

// Guards against a claim that is answered as not appended although it may still
// commit, and one that is answered as unknown although it cannot.
func TestClaimWithoutMajority(t *testing.T) {
	f := newFixture("vm2", true)
	f.proposeClaim(time.Second)
	if got := proposalStatuses(f.runTimer(startTime.Add(time.Second))); !slices.Equal(got, []entry.Status{entry.StatusUnknown}) {
		t.Errorf("a forward without an answer gave %v, want unknown", got)
	}
	f = newFixture("vm2", true)
	out := f.proposeClaim(time.Second)
	for {
		_, ns := forwardsIn(out)
		for _, n := range ns {
			f.answerForward(n, entry.Result{Status: entry.StatusNotLeader})
		}
		if !f.timerDue.Before(startTime.Add(time.Second)) {
			break
		}
		out = f.runTimer(f.timerDue)
	}
	if got := proposalStatuses(f.runTimer(startTime.Add(time.Second))); !slices.Equal(got, []entry.Status{entry.StatusNoMajority}) {
		t.Errorf("refused forwards gave %v, want no majority", got)
	}
	f = newFixture("vm0", true)
	f.becomeLeader(1)
	f.log.refuseAppends = true
	f.proposeClaim(time.Second)
	if got := proposalStatuses(f.runTimer(startTime.Add(time.Second))); !slices.Equal(got, []entry.Status{entry.StatusNoMajority}) {
		t.Errorf("a leader without a majority gave %v, want no majority", got)
	}
	f.log.refuseAppends = false
	f.proposeClaim(time.Second)
	if got := proposalStatuses(f.runTimer(startTime.Add(3 * time.Second))); !slices.Equal(got, []entry.Status{entry.StatusUnknown}) {
		t.Errorf("an uncommitted entry gave %v, want unknown", got)
	}
}

// Guards against commands that are lost when the leader changes: a command is
// sent to the leader named in an answer, and again when no answer arrives.
func TestForwardFindsLeader(t *testing.T) {
	f := newFixture("vm2", true)
	to, ns := forwardsIn(f.proposeClaim(time.Minute))
	if len(to) != 1 {
		t.Fatalf("sent to %v, want one disk VM", to)
	}
	f.answerForward(ns[0], entry.Result{Status: entry.StatusNotLeader, Leader: "vm1"})
	to, ns = forwardsIn(f.runTimer(f.now.Add(50 * time.Millisecond)))
	if !slices.Equal(to, []model.VMID{"vm1"}) {
		t.Fatalf("after a redirect sent to %v, want vm1", to)
	}
	to, _ = forwardsIn(f.runTimer(f.now.Add(time.Second)))
	if len(to) == 0 {
		t.Fatal("a forward without an answer was not sent again")
	}
	if got := proposalStatuses(f.answerForward(ns[0], entry.Result{Status: entry.StatusOK})); !slices.Equal(got, []entry.Status{entry.StatusOK}) {
		t.Fatalf("got answers %v, want ok", got)
	}
	if got := proposalStatuses(f.runTimer(f.now.Add(time.Hour))); len(got) != 0 {
		t.Errorf("got a second answer %v", got)
	}
}

// Guards against commands that are sent to a leader whose connection is lost, for as
// long as the tree still names it.
func TestLostLeaderGetsNoCommands(t *testing.T) {
	f := newFixture("vm2", true)
	f.control.SetTree(&fakeTree{store: f.control.TreeStore(), ready: true})
	if to, _ := forwardsIn(f.proposeClaim(time.Minute)); !slices.Equal(to, []model.VMID{"vm1"}) {
		t.Fatalf("sent to %v, want vm1, which the tree names as leader", to)
	}
	f.record(f.control.HandlePeerDown(f.now, "vm1", nil))
	for range 3 {
		if to, _ := forwardsIn(f.runTimer(f.now.Add(time.Second))); slices.Contains(to, "vm1") {
			t.Errorf("sent to %v, want no command to the lost leader", to)
		}
	}
}

// Guards against an answer to the wrong command after another leader's entry
// replaced an uncommitted one of this VM.
func TestEntryReplacedByAnotherLeader(t *testing.T) {
	f := newFixture("vm0", true)
	f.becomeLeader(1)
	f.commitAll()
	f.proposeClaim(time.Second)
	replaced := f.log.appended[0]
	f.log.appended = nil
	f.log.status = plane.LogStatus{Leader: "vm1", Term: 2}
	f.log.committed = []entry.Entry{{Index: replaced.Index, Term: 2, At: f.now, Command: entry.Noop{}}}
	if got := proposalStatuses(f.diskSynced()); len(got) != 0 {
		t.Fatalf("the other leader's entry answered %v", got)
	}
	to, ns := forwardsIn(f.runTimer(f.now.Add(10 * time.Millisecond)))
	if !slices.Equal(to, []model.VMID{"vm1"}) {
		t.Fatalf("sent to %v, want the new leader", to)
	}
	f.answerForward(ns[0], entry.Result{Status: entry.StatusNotLeader})
	if got := proposalStatuses(f.answerForward(ns[0], entry.Result{Status: entry.StatusOK})); len(got) != 0 {
		t.Errorf("a second answer to one forward was accepted: %v", got)
	}
}

// Guards against a forwarded command that is answered before it is committed, or
// appended by a VM that does not lead.
func TestForwardedCommand(t *testing.T) {
	f := newFixture("vm0", true)
	changed := acmeContract()
	changed.Concurrency = 60
	request := event.PeerMessage{
		From: "vm2", Message: frame.ProposeRequest{Seq: 5, Command: entry.Change{Op: "op", ExpectedRevision: 1, Contract: &changed}},
	}
	proposed := func(out []effect.Effect) []frame.ProposeResponse {
		var found []frame.ProposeResponse
		for _, e := range effectsOf[effect.SendMessage](out) {
			if p, ok := e.Message.(frame.ProposeResponse); ok && e.To == "vm2" {
				found = append(found, p)
			}
		}
		return found
	}
	f.log.status.Leader = "vm1"
	if got := proposed(f.record(f.control.HandlePeerMessage(f.now, request, nil))); len(got) != 1 ||
		got[0].Result.Status != entry.StatusNotLeader || got[0].Result.Leader != "vm1" {
		t.Fatalf("got %+v, want the leader's name", got)
	}
	f.becomeLeader(1)
	f.commitAll()
	f.record(f.control.HandlePeerMessage(f.now, request, nil))
	if got := len(f.log.appended); got != 0 {
		t.Fatalf("a copy of a refused command appended %d entries, want 0", got)
	}
	request.Message = frame.ProposeRequest{Seq: 6, Command: entry.Change{Op: "op", ExpectedRevision: 1, Contract: &changed}}
	if got := proposed(f.record(f.control.HandlePeerMessage(f.now, request, nil))); len(got) != 0 {
		t.Fatalf("answered %+v before the commit", got)
	}
	out := f.commitAll()
	if got := proposed(out); len(got) != 1 || got[0].Seq != 6 || got[0].Result != (entry.Result{Status: entry.StatusOK, Revision: 2}) {
		t.Fatalf("got %+v, want ok at revision 2", got)
	}
	if got := viewsIn(out); len(got) != 1 || got[0].Topology.Contracts["acme"].Concurrency != 60 {
		t.Errorf("got views %+v, want the changed contract", got)
	}
}

// Guards against a status that reports an outdated configuration as current.
func TestStatusRequest(t *testing.T) {
	f := newFixture("vm0", true)
	current := func(out []effect.Effect) (answered, current bool) {
		for _, r := range effectsOf[effect.AnswerOperator](out) {
			return true, r.Status.Current
		}
		return false, false
	}
	f.becomeLeader(1)
	f.commitAll()
	f.now = f.now.Add(time.Second)
	out := f.record(f.control.HandleStatusRequest(f.now, event.StatusRequest{Seq: 1, Linearizable: true}, nil))
	if got, isCurrent := current(out); !got || !isCurrent {
		t.Errorf("a confirmed read is answered %v, current %v", got, isCurrent)
	}
	if got, want := effectsOf[effect.AnswerOperator](out)[0].Status.MajorityAge, time.Second; got != want {
		t.Errorf("got age %v, want %v", got, want)
	}
	if got := len(effectsOf[effect.AnswerOperator](out)[0].Status.History); got == 0 {
		t.Error("the history is empty after a change of the leader and an initial configuration")
	}
	other := newFixture("vm2", true)
	other.record(other.control.HandleStatusRequest(other.now, event.StatusRequest{Seq: 2, Linearizable: true}, nil))
	if got, isCurrent := current(other.runTimer(other.now.Add(time.Minute))); !got || isCurrent {
		t.Errorf("a read without a leader is answered %v, current %v", got, isCurrent)
	}
}

// Guards against a log that grows without bound, and an image that does not cover
// the entries that it replaces.
func TestCompaction(t *testing.T) {
	f := newFixture("vm0", true)
	f.becomeLeader(1)
	for range 5000 {
		f.proposeClaim(time.Minute)
	}
	f.commitAll()
	if got := len(f.log.images); got != 1 {
		t.Fatalf("took %d images, want 1", got)
	}
	image := f.log.images[0]
	if image.Index != 5001 || image.Config.Revision != 1 || len(image.Ledger) != 1 {
		t.Errorf("got an image at %d with revision %d and %d keys", image.Index, image.Config.Revision, len(image.Ledger))
	}
	other := newFixture("vm1", true)
	other.log.image = &image
	if got := viewsIn(other.diskSynced()); len(got) != 1 {
		t.Errorf("an installed image published %d views, want 1", len(got))
	}
}

// Guards against a VM that stops before it handed over the leadership and
// answered every command.
func TestDrain(t *testing.T) {
	f := newFixture("vm0", true)
	f.becomeLeader(1)
	f.commitAll()
	f.proposeClaim(time.Minute)
	out := f.record(f.control.Drain(f.now, nil))
	if !f.log.resigned || len(effectsOf[effect.Drained](out)) != 0 {
		t.Fatalf("resigned %v, drained before the claim was answered: %v", f.log.resigned, effectsOf[effect.Drained](out))
	}
	if out = f.commitAll(); len(effectsOf[effect.Drained](out)) != 1 || len(proposalStatuses(out)) != 1 {
		t.Errorf("got %v, want the answer and effect.Drained", out)
	}
}

// Guards against a process that exits before another VM has taken over from it, so
// that the log waits for an election timeout.
func TestDrainWaitsForTheHandover(t *testing.T) {
	f := newFixture("vm0", true)
	f.becomeLeader(1)
	f.commitAll()
	f.log.slowHandover = true
	out := f.record(f.control.Drain(f.now, nil))
	if !f.log.resigned || len(effectsOf[effect.Drained](out)) != 0 {
		t.Errorf("resigned %v, drained while this VM leads: %v", f.log.resigned, effectsOf[effect.Drained](out))
	}
	f.log.status = plane.LogStatus{Leader: "vm1", Term: 2, LastMajority: f.now}
	if out = f.diskSynced(); len(effectsOf[effect.Drained](out)) != 1 {
		t.Errorf("got %v after the handover, want effect.Drained", out)
	}
}

// Guards against a VM with a failed disk that keeps an old configuration instead
// of following the tree, and against messages of the log that are sent without an
// address and notes of the log that are not in the history.
func TestDiskFailed(t *testing.T) {
	f := newFixture("vm0", true)
	f.becomeLeader(1)
	f.commitAll()
	out := f.record(f.control.HandleDiskFailed(f.now, event.DiskFailed{Problem: "no space"}, nil))
	if got := effectsOf[effect.SendMessage](out); len(got) != 1 || !got[0].Addr.IsValid() {
		t.Errorf("got messages %+v, want one with an address", got)
	}
	status := effectsOf[effect.AnswerOperator](f.control.HandleStatusRequest(f.now, event.StatusRequest{}, nil))[0].Status
	if !slices.ContainsFunc(status.History, func(n effect.Note) bool { return n.Action == "replica stopped" }) {
		t.Errorf("got history %+v, want the log's note", status.History)
	}
	follower := f.control.TreeStore()
	image := follower.Image()
	image.Revision = 9
	follower.Restore(image)
	if got := follower.Revision(); got != 9 {
		t.Errorf("got revision %d, want 9", got)
	}
	if to, _ := forwardsIn(f.proposeClaim(time.Second)); !slices.Equal(to, []model.VMID{"vm1"}) {
		t.Errorf("sent the claim to %v, want vm1", to)
	}
}

// Guards against a restarted VM that serves an older configuration than before:
// entries after the image may have been in force.
func TestRestartDoesNotServeOlderRevision(t *testing.T) {
	first := newFixture("vm0", true)
	first.becomeLeader(1)
	first.commitAll()
	image := entry.Image{Index: 1, Term: 1, Config: first.control.TreeStore().Image()}
	changed := acmeContract()
	change := entry.Entry{Index: 2, Term: 1, At: startTime, Command: entry.Change{ExpectedRevision: 1, Contract: &changed}}
	uncommitted := entry.Entry{Index: 3, Term: 1, At: startTime, Command: entry.Noop{}}
	for name, next := range map[string][]entry.Entry{
		"the same entries":           {change, uncommitted},
		"an entry of a later leader": {change, {Index: 3, Term: 2, At: startTime, Command: entry.Noop{}}},
	} {
		f := newFixture("vm0", true)
		f.record(f.control.HandleDiskLoaded(f.now, event.DiskLoaded{Image: image, Entries: []entry.Entry{change, uncommitted}}, nil))
		f.log.committed = next[:1]
		if got := len(viewsIn(append(f.effects, f.diskSynced()...))); got != 0 {
			t.Fatalf("%s: published %d views before they were applied, want 0", name, got)
		}
		f.log.committed = next[1:]
		// Without a leader the VM serves the configuration that it has after 6 s.
		got := viewsIn(append(f.diskSynced(), f.runTimer(f.now.Add(6*time.Second))...))
		if len(got) != 1 || got[0].Topology.Revision != 2 {
			t.Errorf("%s: got views %+v, want one at revision 2", name, got)
		}
	}
}

// Guards against a restarted VM that serves a configuration without the changes
// that were committed while it was down.
func TestRestartWaitsForMissedEntries(t *testing.T) {
	first := newFixture("vm0", true)
	first.becomeLeader(1)
	first.commitAll()
	f := newFixture("vm0", true)
	f.log.status = plane.LogStatus{Leader: "vm1", Term: 2, LastMajority: f.now, LeaderCommitIndex: 2}
	image := entry.Image{Index: 1, Term: 1, Config: first.control.TreeStore().Image()}
	f.record(f.control.HandleDiskLoaded(f.now, event.DiskLoaded{Image: image}, nil))
	if got := len(viewsIn(f.effects)); got != 0 {
		t.Fatalf("published %d views while behind the leader, want 0", got)
	}
	_, barriers := forwardsIn(f.effects)
	if len(barriers) != 1 {
		t.Fatalf("sent the leader %d empty entries, want 1", len(barriers))
	}
	changed := acmeContract()
	f.log.committed = []entry.Entry{{Index: 2, Term: 2, At: startTime, Command: entry.Change{ExpectedRevision: 1, Contract: &changed}}}
	if got := len(viewsIn(f.diskSynced())); got != 0 {
		t.Fatalf("published %d views before the empty entry was answered, want 0", got)
	}
	answer := frame.ProposeResponse{Seq: barriers[0], Result: entry.Result{Status: entry.StatusOK, Revision: 2}}
	if got := viewsIn(f.record(f.control.HandlePeerMessage(f.now, event.PeerMessage{
		From: "vm1", Message: answer,
	}, nil))); len(got) != 1 || got[0].Topology.Revision != 2 {
		t.Errorf("got views %+v, want one at revision 2", got)
	}
}

// Guards against a restarted VM that trusts a message which its leader sent
// before the restart: a change that was committed after the message is missed.
func TestRestartIgnoresOldLeaderMessages(t *testing.T) {
	first := newFixture("vm0", true)
	first.becomeLeader(1)
	first.commitAll()
	image := entry.Image{Index: 1, Term: 1, Config: first.control.TreeStore().Image()}
	f := newFixture("vm0", true)
	f.log.status = plane.LogStatus{Leader: "vm1", Term: 1, LastMajority: f.now, LeaderCommitIndex: 1}
	f.record(f.control.HandleDiskLoaded(f.now, event.DiskLoaded{Image: image}, nil))
	_, barriers := forwardsIn(f.effects)
	answer := frame.ProposeResponse{Seq: barriers[0], Result: entry.Result{Status: entry.StatusOK, Revision: 2}}
	if got := len(viewsIn(f.record(f.control.HandlePeerMessage(f.now, event.PeerMessage{From: "vm1", Message: answer}, nil)))); got != 0 {
		t.Fatalf("published %d views of revision 1 while 2 is committed, want 0", got)
	}
	changed := acmeContract()
	f.log.committed = []entry.Entry{{Index: 2, Term: 1, At: startTime, Command: entry.Change{ExpectedRevision: 1, Contract: &changed}}}
	if got := viewsIn(f.diskSynced()); len(got) != 1 || got[0].Topology.Revision != 2 {
		t.Errorf("got views %+v, want one at revision 2", got)
	}
}

// Guards against a command that a VM without a majority sends, and that is
// applied after the partition although its caller received a refusal.
func TestIsolatedVMRefusesAtOnce(t *testing.T) {
	f := newFixture("vm0", true)
	f.becomeLeader(1)
	f.commitAll()
	f.log.status = plane.LogStatus{Term: 1, LastMajority: f.now}
	f.now = f.now.Add(time.Minute)
	out := f.proposeClaim(time.Second)
	if to, _ := forwardsIn(out); len(to) != 0 {
		t.Errorf("sent the claim to %v, want nobody", to)
	}
	if got := proposalStatuses(out); !slices.Equal(got, []entry.Status{entry.StatusNoMajority}) {
		t.Errorf("got %v, want no majority at once", got)
	}
}

// Guards against a VM that, after a disk failure and a restart, serves an older
// revision than before: its data folder lacks what it served from the tree. It
// waits for the leader's commit index and for an entry of the leader's term.
func TestFirstViewWaitsForTheLeadersCommit(t *testing.T) {
	f := newFixture("vm1", true)
	initial := entry.Config{VMs: []model.VM{fleetTopology(true).VMs["vm0"], fleetTopology(true).VMs["vm1"]}}
	f.log.status = plane.LogStatus{Leader: "vm0", Term: 2, LeaderCommitIndex: 1}
	f.log.committed = []entry.Entry{{Index: 1, Term: 1, At: startTime, Command: entry.Change{InitialConfig: &initial}}}
	if got := len(effectsOf[effect.ToTraffic](f.diskSynced())); got != 0 {
		t.Errorf("got %d views before an entry of the leader's term, want none", got)
	}
	f.log.status.LeaderCommitIndex = 3
	f.log.committed = []entry.Entry{{Index: 2, Term: 2, At: startTime, Command: entry.Noop{}}}
	if got := len(effectsOf[effect.ToTraffic](f.diskSynced())); got != 0 {
		t.Errorf("got %d views before all committed entries are applied, want none", got)
	}
	f.log.committed = []entry.Entry{{Index: 3, Term: 2, At: startTime, Command: entry.Noop{}}}
	if got := len(effectsOf[effect.ToTraffic](f.diskSynced())); got != 1 {
		t.Errorf("got %d views after all committed entries are applied, want 1", got)
	}
}
