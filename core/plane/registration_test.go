package plane_test

import (
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
	"comfreypulley/core/plane"
)

// registrationFixture is the control state of a disk VM in a fleet whose disk VMs
// register themselves.
type registrationFixture struct {
	control   plane.Control
	log       *fakeLog
	now       time.Time
	lastIndex uint64
}

func diskVM(ip string, zone model.Zone) model.VM {
	return model.VM{ID: model.VMID(ip), Zone: zone, HasDisk: true, PeerAddr: netip.AddrPortFrom(netip.MustParseAddr(ip), 7740)}
}

func newRegistrationFixture(losses int) *registrationFixture {
	f := &registrationFixture{log: &fakeLog{status: plane.LogStatus{Leader: "10.0.0.1", Leading: true, Term: 1, LastMajority: startTime}}, now: startTime}
	f.control.SetLog(f.log)
	f.control.Start(f.now, event.Start{
		Role: event.RoleControl, VM: diskVM("10.0.0.1", "a"), ProcessStart: startTime, Loops: 1, SelfRegistration: true, ToleratedDiskLosses: losses,
		Peers: []model.VM{diskVM("10.0.0.1", "a"), diskVM("10.0.0.2", ""), diskVM("10.0.0.3", "")},
	}, nil)
	return f
}

// commit applies a change as a committed entry.
func (f *registrationFixture) commit(c entry.Change) []effect.Effect {
	f.lastIndex++
	f.log.lastIndex = max(f.log.lastIndex, f.lastIndex)
	f.log.committed = append(f.log.committed, entry.Entry{Index: f.lastIndex, Term: 1, At: f.now, Command: c})
	return f.control.HandleDiskSynced(f.now, event.DiskSynced{}, nil)
}

func (f *registrationFixture) fireTimer(d time.Duration, kind event.TimerKind) []effect.Effect {
	f.now = f.now.Add(d)
	f.log.status.LastMajority = f.now
	return f.control.HandleTimer(f.now, event.TimerID{Kind: kind}, nil)
}

// takeRemovals returns the VMs whose removal was proposed since the last call.
func (f *registrationFixture) takeRemovals() []model.VMID {
	var ids []model.VMID
	for _, e := range f.log.appended {
		if c, ok := e.Command.(entry.Change); ok && c.Remove != nil {
			ids = append(ids, c.Remove.VM)
		}
	}
	f.log.appended = nil
	return ids
}

func (f *registrationFixture) setSilent(id model.VMID, d time.Duration) {
	f.log.status.SilentVoters = []plane.SilentVoter{{VM: id, For: d}}
}

func commitInitialConfig(f *registrationFixture) {
	f.commit(entry.Change{InitialConfig: &entry.Config{VMs: []model.VM{
		diskVM("10.0.0.1", "a"), diskVM("10.0.0.2", "b"), diskVM("10.0.0.3", "c"), diskVM("10.0.0.4", "d"),
	}}})
}

// Guards against a disk VM that never becomes a member because nobody registers
// it, and one that stays out after it was removed without knowing it.
func TestDiskVMRegistersItself(t *testing.T) {
	f := newRegistrationFixture(1)
	f.log.status = plane.LogStatus{Leader: "10.0.0.2", Term: 1, LastMajority: startTime}
	registrations := func(out []effect.Effect) (changes []entry.Change) {
		for _, msg := range effectsOf[effect.SendMessage](out) {
			if p, ok := msg.Message.(frame.ProposeRequest); ok {
				changes = append(changes, p.Command.(entry.Change))
				if got, want := msg.Addr, netip.MustParseAddrPort("10.0.0.2:7740"); got != want {
					t.Errorf("got address %v, want %v", got, want)
				}
			}
		}
		return changes
	}
	got := registrations(f.fireTimer(500*time.Millisecond, event.TimerRegistration))
	if len(got) != 1 || got[0].VM == nil || got[0].VM.ID != "10.0.0.1" || got[0].ExpectedRevision != 0 {
		t.Fatalf("got %+v, want a registration", got)
	}
	commitInitialConfig(f)
	f.fireTimer(3*time.Second, event.TimerPropose)
	if got := registrations(f.fireTimer(500*time.Millisecond, event.TimerRegistration)); len(got) != 0 {
		t.Errorf("got %+v from a registered VM, want nothing", got)
	}
	f.now = f.now.Add(3 * time.Second) // without a majority
	if got := registrations(f.control.HandleTimer(f.now, event.TimerID{Kind: event.TimerRegistration}, nil)); len(got) != 1 {
		t.Errorf("got %+v from a VM that heard of no majority, want a registration", got)
	}
}

// Guards against a lost disk VM that stays a member next to its successor, so
// that the next loss ends the majority, and against the removal of a VM that is
// silent only for a moment.
func TestNewcomerReplacesLostVM(t *testing.T) {
	f := newRegistrationFixture(1)
	commitInitialConfig(f)
	f.setSilent("10.0.0.4", 2*time.Second)
	if f.fireTimer(500*time.Millisecond, event.TimerRegistration); len(f.takeRemovals()) != 0 {
		t.Fatal("a silent VM without a successor was removed after 2 s")
	}
	newcomer := diskVM("10.0.0.9", "d")
	f.commit(entry.Change{VM: &newcomer})
	f.fireTimer(500*time.Millisecond, event.TimerRegistration)
	if got := f.takeRemovals(); !slices.Equal(got, []model.VMID{"10.0.0.4"}) {
		t.Errorf("got removals of %v, want 10.0.0.4", got)
	}
	f = newRegistrationFixture(1)
	commitInitialConfig(f)
	other := diskVM("10.0.0.9", "c")
	f.setSilent("10.0.0.4", 2*time.Second)
	f.commit(entry.Change{VM: &other})
	if f.fireTimer(500*time.Millisecond, event.TimerRegistration); len(f.takeRemovals()) != 0 {
		t.Error("a newcomer of another zone replaced a silent VM")
	}
}

// Guards against removals that leave too few VMs to tolerate the losses in the
// settings.
func TestSilentVMIsRemovedOnlyIfEnoughRemain(t *testing.T) {
	for losses, want := range map[int][]model.VMID{1: {"10.0.0.4"}, 2: nil} {
		f := newRegistrationFixture(losses)
		commitInitialConfig(f)
		f.setSilent("10.0.0.4", 11*time.Second)
		f.fireTimer(500*time.Millisecond, event.TimerRegistration)
		if got := f.takeRemovals(); !slices.Equal(got, want) {
			t.Errorf("with %d tolerated losses: got removals of %v, want %v", losses, got, want)
		}
	}
}

// Guards against a crashing request that only the entry VM which found it
// refuses, so that callers can send it again through any other.
func TestCrashReportsReachFollowers(t *testing.T) {
	f := newRegistrationFixture(1)
	commitInitialConfig(f)
	for _, id := range []model.VMID{"10.0.1.1", "10.0.1.2", "10.0.1.3"} {
		f.control.HandlePeerMessage(f.now, event.PeerMessage{From: id, Message: frame.Digest{}}, nil)
	}
	report := frame.CrashReport{Fingerprint: 5, Upstreams: []model.UpstreamID{"u1", "u2", "u3"}, Quarantine: time.Minute}
	var receivers []model.VMID
	for _, msg := range effectsOf[effect.SendMessage](f.control.HandlePeerMessage(f.now, event.PeerMessage{From: "10.0.1.1", Message: report}, nil)) {
		if _, ok := msg.Message.(frame.CrashReport); ok {
			receivers = append(receivers, msg.To)
		}
	}
	if want := []model.VMID{"10.0.1.2", "10.0.1.3"}; !slices.Equal(receivers, want) {
		t.Errorf("got reports to %v, want %v", receivers, want)
	}
}

// Guards against documents that are lost, replaced by an older version or changed
// under their version.
func TestDocumentOfHighestVersionIsInForce(t *testing.T) {
	f := newRegistrationFixture(1)
	commitInitialConfig(f)
	document := func(version uint64, name string) *model.Document {
		return &model.Document{
			Version: version, Services: []model.Service{{Name: "s"}}, Source: []byte(name),
			Routes: []model.Route{{Name: name, Host: "h", PathPrefix: "/", Timeout: time.Second, Targets: []model.Target{{Service: "s", Weight: 1}}}},
		}
	}
	for _, step := range []struct {
		version uint64
		name    string
		want    string
	}{{3, "first", "first"}, {7, "second", "second"}, {7, "other content", "second"}, {3, "first", "second"}, {9, "third", "third"}} {
		out := f.commit(entry.Change{Document: document(step.version, step.name)})
		for _, v := range effectsOf[effect.ToTraffic](out) {
			if view, ok := v.Body.(event.View); ok && view.Topology.Document.Routes[0].Name != step.want {
				t.Errorf("version %d %q: got %q in force", step.version, step.name, view.Topology.Document.Routes[0].Name)
			}
		}
		f.control.HandleStatusRequest(f.now, event.StatusRequest{Seq: 1}, nil)
		status := effectsOf[effect.AnswerOperator](f.control.HandleStatusRequest(f.now, event.StatusRequest{Seq: 2}, nil))
		if got := string(status[0].Status.Topology.Document.Source); got != step.want {
			t.Errorf("version %d %q: got source %q, want %q", step.version, step.name, got, step.want)
		}
	}
}

// Guards against a log that grows with every document until the VM's memory or
// disk is full, when hundreds of documents come in short time.
func TestDocumentsCompactTheLog(t *testing.T) {
	f := newRegistrationFixture(1)
	commitInitialConfig(f)
	for n := range uint64(40) {
		f.commit(entry.Change{Document: &model.Document{Version: n + 1, Source: make([]byte, 100<<10)}})
	}
	if got := len(f.log.images); got < 1 {
		t.Errorf("got %d images after 4 MB of documents, want at least one", got)
	}
}

// Guards against a list of upstreams that every VM reads, that nobody reads
// when the leader fails, or that entry VMs do not receive.
func TestUpstreamListIsReadByOneAndSentToAll(t *testing.T) {
	f := newRegistrationFixture(1)
	commitInitialConfig(f)
	if got := len(effectsOf[effect.ReadUpstreamList](f.fireTimer(2*time.Second, event.TimerUpstreamList))); got != 1 {
		t.Fatalf("got %d reads by the leader, want 1", got)
	}
	f.control.HandlePeerMessage(f.now, event.PeerMessage{From: "10.0.1.1", Message: frame.Digest{}}, nil)
	upstreams := []model.Upstream{{ID: "u1", Index: "s", Slots: 2, Zone: "a"}}
	lists := make(map[model.VMID]frame.UpstreamList)
	for _, msg := range effectsOf[effect.SendMessage](f.control.HandleUpstreamListRead(f.now, event.UpstreamListRead{Upstreams: upstreams}, nil)) {
		if r, ok := msg.Message.(frame.UpstreamList); ok {
			lists[msg.To] = r
		}
	}
	if len(lists) != 4 || !lists["10.0.1.1"].Complete || len(lists["10.0.1.1"].Upstreams) != 1 {
		t.Errorf("got %+v, want the complete list for the entry VM and messages for the three other disk VMs", lists)
	}
	follower := newRegistrationFixture(1)
	commitInitialConfig(follower)
	follower.log.status = plane.LogStatus{Leader: "10.0.0.2", Term: 1, LastMajority: startTime}
	follower.fireTimer(2*time.Second, event.TimerUpstreamList)
	follower.control.HandleUpstreamListRead(follower.now, event.UpstreamListRead{Problem: "refused"}, nil)
	follower.control.HandlePeerMessage(follower.now, event.PeerMessage{From: "10.0.0.2", Message: lists["10.0.1.1"]}, nil)
	if got := len(effectsOf[effect.ReadUpstreamList](follower.fireTimer(1200*time.Millisecond, event.TimerUpstreamList))); got != 0 {
		t.Errorf("got %d reads by a VM with a fresh list, want 0", got)
	}
	if got := len(effectsOf[effect.ReadUpstreamList](follower.fireTimer(1200*time.Millisecond, event.TimerUpstreamList))); got != 1 {
		t.Errorf("got %d reads by a VM with an old list, want 1", got)
	}
}

// Guards against a VM that was stalled, and whose clock was stalled with it, so
// that it passes on an old list as a new one: upstreams that were added are lost
// and removed ones reappear.
func TestOldListDoesNotReplaceNewer(t *testing.T) {
	var c plane.Control
	c.Start(startTime, event.Start{
		Role: event.RoleControl, VM: model.VM{ID: "10.0.1.1", Zone: "a"}, ProcessStart: startTime, Loops: 1, SelfRegistration: true,
	}, nil)
	listSize := func(at time.Time, from model.VMID, m frame.UpstreamList) (n int) {
		for _, e := range effectsOf[effect.ToTraffic](c.HandlePeerMessage(at, event.PeerMessage{From: from, Message: m}, nil)) {
			if r, ok := e.Body.(event.UpstreamList); ok {
				n = len(r.Upstreams)
			}
		}
		return n
	}
	// Both VMs read the list, the second one six seconds later.
	read := func(at time.Time, upstreams ...model.Upstream) frame.UpstreamList {
		f := newRegistrationFixture(1)
		commitInitialConfig(f)
		f.now = at
		f.control.HandleUpstreamListRead(f.now, event.UpstreamListRead{Upstreams: upstreams}, nil)
		for _, msg := range effectsOf[effect.SendMessage](f.control.HandlePeerMessage(f.now, event.PeerMessage{From: "10.0.1.1", Message: frame.Digest{}}, nil)) {
			if m, ok := msg.Message.(frame.UpstreamList); ok {
				return m
			}
		}
		t.Fatal("got no list from a VM that has read it")
		return frame.UpstreamList{}
	}
	old, current := read(startTime.Add(time.Second), model.Upstream{ID: "u1"}),
		read(startTime.Add(7*time.Second), model.Upstream{ID: "u1"}, model.Upstream{ID: "u2"})
	at := startTime.Add(8 * time.Second)
	current.Age = time.Second
	if got := listSize(at, "10.0.0.2", current); got != 2 {
		t.Fatalf("got a list of %d upstreams, want 2", got)
	}
	if got := listSize(at, "10.0.0.1", old); got != 0 {
		t.Errorf("got a list of %d upstreams that was read 6s earlier, want it ignored", got)
	}
	if got := listSize(at, "10.0.0.2", read(at, model.Upstream{ID: "u3"})); got != 1 {
		t.Errorf("got a list of %d upstreams, want the list of the next read with 1", got)
	}
}

// Guards against a log line at each reading of the list while the same entry cannot be read,
// and against one that does not say which.
func TestIgnoredEntriesAreLoggedOnceAChange(t *testing.T) {
	f := newRegistrationFixture(1)
	for i, step := range []struct {
		ignored int
		first   string
		want    string // cause of the note; empty without one
	}{
		{0, "", ""},
		{2, `"{\"id\":"`, `2 name no usable upstream, the first begins with "{\"id\":"`},
		{2, `"{\"id\":"`, ""},
		{2, `"]"`, `2 name no usable upstream, the first begins with "]"`},
		{0, "", "0 name no usable upstream"},
		{0, "", ""},
	} {
		var causes []string
		out := f.control.HandleUpstreamListRead(f.now, event.UpstreamListRead{Ignored: step.ignored, FirstIgnored: step.first}, nil)
		for _, n := range effectsOf[effect.Note](out) {
			if n.Action == "entries ignored" {
				causes = append(causes, n.Cause)
			}
		}
		if got := strings.Join(causes, "; "); got != step.want {
			t.Errorf("reading %d: got %q, want %q", i, got, step.want)
		}
	}
}
