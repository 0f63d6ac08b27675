package plane_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
	"comfreypulley/core/plane"
)

// commitVoters applies an entry with voters; their disks are known but for the last ones.
func (f *registrationFixture) commitVoters(known, unknown int) {
	m := entry.Members{}
	for n := range known + unknown {
		r := entry.Replica{VM: model.VMID(fmt.Sprintf("10.0.0.%d", n+1)), Disk: model.DiskID(n + 1)}
		if n >= known {
			r.Disk = 0
		}
		m.Voters = append(m.Voters, r)
	}
	f.lastIndex++
	f.log.lastIndex = max(f.log.lastIndex, f.lastIndex)
	f.log.committed = append(f.log.committed, entry.Entry{Index: f.lastIndex, Term: 1, At: f.now, Command: m})
	f.control.HandleDiskSynced(f.now, event.DiskSynced{}, nil)
}

// firstDocument is the first change of an operator.
var firstDocument = entry.Change{Document: &model.Document{Version: 1}}

// appendedDocument reports whether the first change went to the log.
func (f *registrationFixture) appendedDocument() bool {
	for _, e := range f.log.appended {
		if c, ok := e.Command.(entry.Change); ok && c.Document != nil {
			return true
		}
	}
	return false
}

// Guards against a first change that is acknowledged by so few VMs that it is lost with as
// many disks as may be lost, and against one that waits for VMs which do not come.
func TestFirstChangeAwaitsVoters(t *testing.T) {
	for _, c := range []struct {
		name           string
		losses         int
		known, unknown int
		forwarded      bool
		began          time.Duration // from the start of the process to the first configuration
		after          time.Duration // since then
		want           bool          // appended
	}{
		{name: "three voters, one loss", losses: 1, known: 3, want: true},
		{name: "three voters, two losses", losses: 2, known: 3},
		{name: "five voters, two losses", losses: 2, known: 5, want: true},
		{name: "a voter without a disk", losses: 1, known: 2, unknown: 1},
		{name: "forwarded", losses: 2, known: 3, forwarded: true},
		{name: "before the first configuration", losses: 1, known: 0},
		{name: "long before the first configuration", losses: 1, known: 0, began: time.Minute},
		{name: "the log begins late", losses: 2, known: 3, began: 5 * time.Second},
		{name: "the log begins late, forwarded", losses: 2, known: 3, began: 5 * time.Second, forwarded: true},
		{name: "the others do not come", losses: 2, known: 3, after: 4 * time.Second, want: true},
		{name: "forwarded, the others do not come", losses: 2, known: 3, after: 4 * time.Second, forwarded: true, want: true},
	} {
		f := newRegistrationFixture(c.losses)
		f.now = f.now.Add(c.began)
		f.log.status.LastMajority = f.now
		if c.known > 0 {
			commitInitialConfig(f)
			f.commitVoters(c.known, c.unknown)
		}
		f.now = f.now.Add(c.after)
		if c.forwarded {
			out := f.control.HandlePeerMessage(f.now, event.PeerMessage{From: "10.0.0.2", Message: frame.ProposeRequest{Seq: 1, Command: firstDocument}}, nil)
			for _, msg := range effectsOf[effect.SendMessage](out) {
				if r, ok := msg.Message.(frame.ProposeResponse); ok && (c.want || r.Result.Status != entry.StatusUnavailable) {
					t.Errorf("%s: got the answer %+v", c.name, r.Result)
				}
			}
		} else {
			f.control.HandleOperatorCommand(f.now, event.OperatorCommand{Seq: 1, Command: firstDocument}, nil)
		}
		if got := f.appendedDocument(); got != c.want {
			t.Errorf("%s: got the change in the log: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a change that goes on waiting after enough VMs have joined, against one
// that a restart lets through too early, and against later changes that wait.
func TestFirstChangeIsAppendedOnceVotersJoin(t *testing.T) {
	f := newRegistrationFixture(2)
	commitInitialConfig(f)
	f.commitVoters(3, 0)
	f.control.HandleOperatorCommand(f.now, event.OperatorCommand{Seq: 1, Command: firstDocument}, nil)
	f.fireTimer(200*time.Millisecond, event.TimerPropose)
	if f.appendedDocument() {
		t.Fatal("got the change in the log with three voters, want it to wait")
	}
	f.commitVoters(5, 0)
	f.fireTimer(200*time.Millisecond, event.TimerPropose)
	if !f.appendedDocument() {
		t.Error("got no change in the log with five voters")
	}
	f.commit(firstDocument)
	f.commitVoters(3, 0)
	f.log.appended = nil
	second := entry.Change{Document: &model.Document{Version: 2}}
	f.control.HandleOperatorCommand(f.now, event.OperatorCommand{Seq: 2, Command: second}, nil)
	if !f.appendedDocument() {
		t.Error("got no change in the log after an earlier one, want it not to wait")
	}
	restarted := newRegistrationFixture(2)
	restarted.control.HandleDiskLoaded(restarted.now, event.DiskLoaded{Image: entry.Image{
		Index: 2, Term: 1, Config: entry.Config{Revision: 1, VMs: []model.VM{diskVM("10.0.0.1", "a")}},
		Members: entry.Members{Voters: []entry.Replica{{VM: "10.0.0.1", Disk: 1}, {VM: "10.0.0.2", Disk: 2}, {VM: "10.0.0.3", Disk: 3}}},
	}}, nil)
	restarted.log.appended = nil
	restarted.control.HandleOperatorCommand(restarted.now, event.OperatorCommand{Seq: 1, Command: firstDocument}, nil)
	if restarted.appendedDocument() {
		t.Error("got the change in the log after a restart, want it to wait")
	}
}

// Guards against a right to found the log that is written where nobody has asked for it, or
// not taken from the disk, and against a first configuration that is lost with the process.
func TestFoundersAreKeptOnTheDisk(t *testing.T) {
	founders := []model.VM{diskVM("10.0.0.1", "a"), diskVM("10.0.0.2", "b"), diskVM("10.0.0.3", "c")}
	cfg := &model.Topology{VMs: make(map[model.VMID]model.VM)}
	for _, vm := range founders {
		cfg.VMs[vm.ID] = vm
	}
	used := event.DiskLoaded{Disk: 1, Entries: []entry.Entry{{Index: 1, Term: 1, Command: entry.Noop{}}}}
	for _, c := range []struct {
		name   string
		self   model.VM
		cfg    *model.Topology
		fixed  bool // the settings name the first configuration at every start
		loaded event.DiskLoaded
		saved  bool
		voters int
	}{
		{name: "first start", self: founders[0], cfg: cfg, loaded: event.DiskLoaded{Disk: 1}, saved: true, voters: 3},
		{name: "restart", self: founders[0], loaded: event.DiskLoaded{Disk: 1, Founders: founders}, voters: 3},
		{name: "lost disk", self: founders[0], loaded: event.DiskLoaded{Disk: 2}},
		{name: "no founder", self: diskVM("10.0.0.4", "a"), cfg: cfg, loaded: event.DiskLoaded{Disk: 1}, voters: 3},
		{name: "log of an earlier build", self: founders[0], cfg: cfg, loaded: used, voters: 3},
		{name: "own settings", self: founders[0], cfg: cfg, fixed: true, loaded: event.DiskLoaded{Disk: 1}, voters: 3},
	} {
		var control plane.Control
		log := &fakeLog{}
		control.SetLog(log)
		control.Start(startTime, event.Start{Role: event.RoleControl, VM: c.self, ProcessStart: startTime, Loops: 1, SelfRegistration: !c.fixed, InitialConfig: c.cfg}, nil)
		out := control.HandleDiskLoaded(startTime, c.loaded, nil)
		saved := effectsOf[effect.SaveFounders](out)
		if got := len(saved) == 1 && reflect.DeepEqual(saved[0].VMs, founders); got != c.saved || len(saved) > 1 {
			t.Errorf("%s: got the founders %+v written, want them to be: %v", c.name, saved, c.saved)
		}
		if got, want := len(log.initialVoters), c.voters; got != want {
			t.Errorf("%s: got initial voters %v, want %d", c.name, log.initialVoters, want)
		}
	}
}
