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

// enrolled is the control state of a disk VM in a fleet that enrols by itself.
type enrolled struct {
	c     plane.Control
	log   *fakeLog
	now   time.Time
	index uint64
}

func diskVM(ip string, zone model.Zone) model.VM {
	return model.VM{ID: model.VMID(ip), Zone: zone, HasDisk: true, PeerAddr: netip.AddrPortFrom(netip.MustParseAddr(ip), 7740)}
}

func newEnrolled(losses int) *enrolled {
	f := &enrolled{log: &fakeLog{standing: plane.Standing{Leader: "10.0.0.1", Leading: true, Term: 1, Heard: began}}, now: began}
	f.c.Replicate(f.log)
	f.c.Start(f.now, event.Start{
		Role: event.RoleControl, VM: diskVM("10.0.0.1", "a"), ProcessStart: began, Loops: 1, SelfRegistration: true, ToleratedDiskLosses: losses,
		Peers: []model.VM{diskVM("10.0.0.1", "a"), diskVM("10.0.0.2", ""), diskVM("10.0.0.3", "")},
	}, nil)
	return f
}

// commit applies a change as a committed entry.
func (f *enrolled) commit(c entry.Change) []effect.Effect {
	f.index++
	f.log.last = max(f.log.last, f.index)
	f.log.committed = append(f.log.committed, entry.Entry{Index: f.index, Term: 1, At: f.now, Command: c})
	return f.c.Synced(f.now, event.DiskSynced{}, nil)
}

func (f *enrolled) tick(d time.Duration, kind event.TimerKind) []effect.Effect {
	f.now = f.now.Add(d)
	f.log.standing.Heard = f.now
	return f.c.Timer(f.now, event.TimerID{Kind: kind}, nil)
}

// removals returns the VMs whose removal was proposed, and forgets them.
func (f *enrolled) removals() []model.VMID {
	var ids []model.VMID
	for _, e := range f.log.appended {
		if c, ok := e.Command.(entry.Change); ok && c.Remove != nil {
			ids = append(ids, c.Remove.VM)
		}
	}
	f.log.appended = nil
	return ids
}

func (f *enrolled) silence(id model.VMID, d time.Duration) {
	f.log.standing.Silent = []plane.Silence{{VM: id, For: d}}
}

func found(f *enrolled) {
	f.commit(entry.Change{InitialConfig: &entry.Config{VMs: []model.VM{
		diskVM("10.0.0.1", "a"), diskVM("10.0.0.2", "b"), diskVM("10.0.0.3", "c"), diskVM("10.0.0.4", "d"),
	}}})
}

// Guards against a disk VM that never becomes a member because nobody registers
// it, and against one that stays out after it was removed without knowing it.
func TestDiskVMRegistersItself(t *testing.T) {
	f := newEnrolled(1)
	f.log.standing = plane.Standing{Leader: "10.0.0.2", Term: 1, Heard: began}
	asks := func(out []effect.Effect) (changes []entry.Change) {
		for _, tell := range all[effect.SendMessage](out) {
			if p, ok := tell.Message.(frame.ProposeRequest); ok {
				changes = append(changes, p.Command.(entry.Change))
				if got, want := tell.Addr, netip.MustParseAddrPort("10.0.0.2:7740"); got != want {
					t.Errorf("got address %v, want %v", got, want)
				}
			}
		}
		return changes
	}
	got := asks(f.tick(500*time.Millisecond, event.TimerRegistration))
	if len(got) != 1 || got[0].VM == nil || got[0].VM.ID != "10.0.0.1" || got[0].ExpectedRevision != 0 {
		t.Fatalf("got %+v, want a registration", got)
	}
	found(f)
	f.tick(3*time.Second, event.TimerPropose)
	if got := asks(f.tick(500*time.Millisecond, event.TimerRegistration)); len(got) != 0 {
		t.Errorf("got %+v from a registered VM, want nothing", got)
	}
	f.now = f.now.Add(3 * time.Second) // without a majority
	if got := asks(f.c.Timer(f.now, event.TimerID{Kind: event.TimerRegistration}, nil)); len(got) != 1 {
		t.Errorf("got %+v from a VM that heard of no majority, want a registration", got)
	}
}

// Guards against a lost disk VM that stays a member beside its successor, so
// that the next loss ends the majority, and against the removal of one that is
// only away for a moment.
func TestNewcomerReplacesLostVM(t *testing.T) {
	f := newEnrolled(1)
	found(f)
	f.silence("10.0.0.4", 2*time.Second)
	if f.tick(500*time.Millisecond, event.TimerRegistration); len(f.removals()) != 0 {
		t.Fatal("a silent VM without a successor was removed after 2 s")
	}
	newcomer := diskVM("10.0.0.9", "d")
	f.commit(entry.Change{VM: &newcomer})
	f.tick(500*time.Millisecond, event.TimerRegistration)
	if got := f.removals(); !slices.Equal(got, []model.VMID{"10.0.0.4"}) {
		t.Errorf("got removals of %v, want 10.0.0.4", got)
	}
	f = newEnrolled(1)
	found(f)
	other := diskVM("10.0.0.9", "c")
	f.silence("10.0.0.4", 2*time.Second)
	f.commit(entry.Change{VM: &other})
	if f.tick(500*time.Millisecond, event.TimerRegistration); len(f.removals()) != 0 {
		t.Error("a newcomer of another zone took the place of a silent VM")
	}
}

// Guards against removals that leave fewer VMs than bear the stated losses.
func TestLongSilenceRemovesOnlyWhatCanBeSpared(t *testing.T) {
	for losses, want := range map[int][]model.VMID{1: {"10.0.0.4"}, 2: nil} {
		f := newEnrolled(losses)
		found(f)
		f.silence("10.0.0.4", 11*time.Second)
		f.tick(500*time.Millisecond, event.TimerRegistration)
		if got := f.removals(); !slices.Equal(got, want) {
			t.Errorf("with %d losses to bear: got removals of %v, want %v", losses, got, want)
		}
	}
}

// Guards against a crashing request that only the daemon that found it refuses:
// it comes again at any other.
func TestStrikesReachFollowers(t *testing.T) {
	f := newEnrolled(1)
	found(f)
	for _, id := range []model.VMID{"10.0.1.1", "10.0.1.2", "10.0.1.3"} {
		f.c.Peer(f.now, event.PeerMessage{From: id, Message: frame.Digest{}}, nil)
	}
	strike := frame.CrashReport{Fingerprint: 5, Upstreams: []model.UpstreamID{"u1", "u2", "u3"}, Quarantine: time.Minute}
	var told []model.VMID
	for _, tell := range all[effect.SendMessage](f.c.Peer(f.now, event.PeerMessage{From: "10.0.1.1", Message: strike}, nil)) {
		if _, ok := tell.Message.(frame.CrashReport); ok {
			told = append(told, tell.To)
		}
	}
	if want := []model.VMID{"10.0.1.2", "10.0.1.3"}; !slices.Equal(told, want) {
		t.Errorf("got strikes told to %v, want %v", told, want)
	}
}

// Guards against documents that are lost, go back or change under their
// version, and against an old one that is refused when it is sent again.
func TestDocumentOfHighestVersionIsInForce(t *testing.T) {
	f := newEnrolled(1)
	found(f)
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
		for _, v := range all[effect.ToTraffic](out) {
			if view, ok := v.Body.(event.View); ok && view.Topology.Document.Routes[0].Name != step.want {
				t.Errorf("version %d %q: got %q in force", step.version, step.name, view.Topology.Document.Routes[0].Name)
			}
		}
		f.c.Inquiry(f.now, event.StatusRequest{Seq: 1}, nil)
		status := all[effect.AnswerOperator](f.c.Inquiry(f.now, event.StatusRequest{Seq: 2}, nil))
		if got := string(status[0].Status.Topology.Document.Source); got != step.want {
			t.Errorf("version %d %q: got source %q, want %q", step.version, step.name, got, step.want)
		}
	}
}

// Guards against a log that grows by every document until the VM's memory or
// disk is full: a storm brings hundreds of them.
func TestDocumentsCompactTheLog(t *testing.T) {
	f := newEnrolled(1)
	found(f)
	for n := range uint64(40) {
		f.commit(entry.Change{Document: &model.Document{Version: n + 1, Source: make([]byte, 100<<10)}})
	}
	if got := len(f.log.images); got < 1 {
		t.Errorf("got %d images after 4 MB of documents, want at least one", got)
	}
}

// Guards against a list of upstreams that is read by every VM, that is not read
// when the leader fails, and that daemons do not get or get too late.
func TestRosterIsReadByOneAndToldToAll(t *testing.T) {
	f := newEnrolled(1)
	found(f)
	if got := len(all[effect.ReadUpstreamList](f.tick(2*time.Second, event.TimerUpstreamList))); got != 1 {
		t.Fatalf("got %d reads by the leader, want 1", got)
	}
	f.c.Peer(f.now, event.PeerMessage{From: "10.0.1.1", Message: frame.Digest{}}, nil)
	upstreams := []model.Upstream{{ID: "u1", Index: "s", Slots: 2, Zone: "a"}}
	told := make(map[model.VMID]frame.UpstreamList)
	for _, tell := range all[effect.SendMessage](f.c.Listed(f.now, event.UpstreamListRead{Upstreams: upstreams}, nil)) {
		if r, ok := tell.Message.(frame.UpstreamList); ok {
			told[tell.To] = r
		}
	}
	if len(told) != 4 || !told["10.0.1.1"].Complete || len(told["10.0.1.1"].Upstreams) != 1 {
		t.Errorf("got %+v, want the whole list for the daemon and news for the three other disk VMs", told)
	}
	follower := newEnrolled(1)
	found(follower)
	follower.log.standing = plane.Standing{Leader: "10.0.0.2", Term: 1, Heard: began}
	follower.tick(2*time.Second, event.TimerUpstreamList)
	follower.c.Listed(follower.now, event.UpstreamListRead{Problem: "refused"}, nil)
	follower.c.Peer(follower.now, event.PeerMessage{From: "10.0.0.2", Message: told["10.0.1.1"]}, nil)
	if got := len(all[effect.ReadUpstreamList](follower.tick(1200*time.Millisecond, event.TimerUpstreamList))); got != 0 {
		t.Errorf("got %d reads by a VM with fresh news, want 0", got)
	}
	if got := len(all[effect.ReadUpstreamList](follower.tick(1200*time.Millisecond, event.TimerUpstreamList))); got != 1 {
		t.Errorf("got %d reads by a VM without news, want 1", got)
	}
}

// Guards against a VM that stood still and, as its clock did, too, passes an old
// list on as a new one: upstreams that came are lost and those that left are back.
func TestOldListDoesNotReplaceNewer(t *testing.T) {
	var c plane.Control
	c.Start(began, event.Start{Role: event.RoleControl, VM: model.VM{ID: "10.0.1.1", Zone: "a"}, ProcessStart: began, Loops: 1, SelfRegistration: true}, nil)
	lists := func(at time.Time, from model.VMID, m frame.UpstreamList) (n int) {
		for _, e := range all[effect.ToTraffic](c.Peer(at, event.PeerMessage{From: from, Message: m}, nil)) {
			if r, ok := e.Body.(event.UpstreamList); ok {
				n = len(r.Upstreams)
			}
		}
		return n
	}
	// Both VMs read the list, the second one six seconds later.
	read := func(at time.Time, upstreams ...model.Upstream) frame.UpstreamList {
		f := newEnrolled(1)
		found(f)
		f.now = at
		f.c.Listed(f.now, event.UpstreamListRead{Upstreams: upstreams}, nil)
		for _, tell := range all[effect.SendMessage](f.c.Peer(f.now, event.PeerMessage{From: "10.0.1.1", Message: frame.Digest{}}, nil)) {
			if m, ok := tell.Message.(frame.UpstreamList); ok {
				return m
			}
		}
		t.Fatal("got no list from a VM that has read it")
		return frame.UpstreamList{}
	}
	old, current := read(began.Add(time.Second), model.Upstream{ID: "u1"}), read(began.Add(7*time.Second), model.Upstream{ID: "u1"}, model.Upstream{ID: "u2"})
	at := began.Add(8 * time.Second)
	current.Age = time.Second
	if got := lists(at, "10.0.0.2", current); got != 2 {
		t.Fatalf("got a list of %d upstreams, want 2", got)
	}
	if got := lists(at, "10.0.0.1", old); got != 0 {
		t.Errorf("got a list of %d upstreams that was read 6s earlier, want it left alone", got)
	}
	if got := lists(at, "10.0.0.2", read(at, model.Upstream{ID: "u3"})); got != 1 {
		t.Errorf("got a list of %d upstreams, want the one of the next read", got)
	}
}
