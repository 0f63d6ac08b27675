package plane_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/plane"
)

// TestMain fixes the seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// cluster is the log that the VMs of a fleet share.
type cluster struct {
	term      uint64
	leader    model.VMID
	committed []entry.Entry
	tail      []entry.Entry // of the leader, not committed
}

// sharedLog is one VM's side of a cluster. A deposed leader still takes
// commands, which never commit.
type sharedLog struct {
	fakeLog
	id      model.VMID
	cluster *cluster
	deposed bool
	term    uint64
	lost    uint64 // entries taken since it was deposed
	given   int    // committed entries handed out
	visible int    // committed entries known
}

func (l *sharedLog) Standing() plane.Standing {
	if l.deposed {
		return plane.Standing{Leader: l.id, Leading: true, Term: l.term}
	}
	return plane.Standing{Leader: l.cluster.leader, Leading: l.cluster.leader == l.id, Term: l.cluster.term}
}

func (l *sharedLog) Propose(at time.Time, c entry.Command, out []effect.Effect) (uint64, entry.Status, []effect.Effect) {
	if l.deposed {
		l.lost++
		return uint64(l.visible) + l.lost, entry.StatusOK, out
	}
	if l.cluster.leader != l.id {
		return 0, entry.StatusNotLeader, out
	}
	return l.cluster.append(at, c), entry.StatusOK, out
}

func (l *sharedLog) Committed() (*entry.Image, []entry.Entry) {
	entries := l.cluster.committed[l.given:l.visible]
	l.given = l.visible
	return nil, entries
}

func (c *cluster) append(at time.Time, command entry.Command) uint64 {
	index := uint64(len(c.committed)+len(c.tail)) + 1
	c.tail = append(c.tail, entry.Entry{Index: index, Term: c.term, At: at, Command: command})
	return index
}

// fleetSim is three VMs with disks and one without, whose messages get lost,
// late and repeated, under changing leaders.
type fleetSim struct {
	now      time.Time
	cluster  *cluster
	ids      []model.VMID
	controls map[model.VMID]*plane.Control
	logs     map[model.VMID]*sharedLog
	due      map[model.VMID]time.Time
	transit  []transit
	next     model.RequestID
	claims   map[model.RequestID]entry.Claim
	answers  map[model.RequestID]entry.Status
	changes  map[uint64]model.OpID
	results  map[model.OpID]entry.Result
}

type transit struct {
	from, to model.VMID
	tell     effect.SendMessage
}

func newFleetSim() *fleetSim {
	s := &fleetSim{
		now: began, cluster: &cluster{term: 1}, ids: []model.VMID{"vm0", "vm1", "vm2", "vm3"},
		controls: make(map[model.VMID]*plane.Control), logs: make(map[model.VMID]*sharedLog),
		due: make(map[model.VMID]time.Time), claims: make(map[model.RequestID]entry.Claim),
		answers: make(map[model.RequestID]entry.Status), changes: make(map[uint64]model.OpID),
		results: make(map[model.OpID]entry.Result),
	}
	genesis := fleet(true)
	genesis.VMs["vm3"] = model.VM{ID: "vm3", Zone: "a", HasDisk: true}
	for _, id := range s.ids {
		s.controls[id] = &plane.Control{}
		if genesis.VMs[id].HasDisk {
			s.logs[id] = &sharedLog{id: id, cluster: s.cluster}
			s.controls[id].Replicate(s.logs[id])
		}
		start := event.Start{Role: event.RoleControl, VM: genesis.VMs[id], ProcessStart: began, Loops: 1, InitialConfig: genesis}
		s.take(id, s.controls[id].Start(s.now, start, nil))
	}
	return s
}

// take carries out the effects of a VM.
func (s *fleetSim) take(id model.VMID, out []effect.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case effect.SetTimer:
			s.due[id] = e.At
		case effect.SendMessage:
			s.transit = append(s.transit, transit{from: id, to: e.To, tell: e})
		case effect.AnswerOperator:
			s.results[s.changes[e.Seq]] = e.Result
		case effect.ToTraffic:
			if p, ok := e.Body.(event.ProposeResponse); ok {
				if _, isClaim := p.Command.(entry.Claim); isClaim {
					s.answers[p.Request] = p.Result.Status
				}
			}
		}
	}
}

func (s *fleetSim) sync(id model.VMID) {
	s.take(id, s.controls[id].Synced(s.now, event.DiskSynced{}, nil))
}

// step does one thing that may happen in a fleet.
func (s *fleetSim) step(t *rapid.T) {
	id := rapid.SampledFrom(s.ids).Draw(t, "vm")
	log := s.logs[id]
	switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
	case action == 0:
		s.claim(t, id)
	case action == 1:
		s.change(t, id)
	case action <= 3:
		s.pass(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	case action <= 6 && len(s.transit) > 0:
		s.deliver(t)
	case action == 7 && log != nil:
		s.elect(t, id)
	case action == 8:
		n := rapid.IntRange(0, len(s.cluster.tail)).Draw(t, "committed")
		s.cluster.committed = append(s.cluster.committed, s.cluster.tail[:n]...)
		s.cluster.tail = slices.Clone(s.cluster.tail[n:])
	case log != nil && !log.deposed:
		log.visible = rapid.IntRange(log.visible, len(s.cluster.committed)).Draw(t, "visible")
		s.sync(id)
	}
}

func (s *fleetSim) claim(t *rapid.T, id model.VMID) {
	s.next++
	c := entry.Claim{
		Customer: "acme", Key: model.NewKey(began, [10]byte{byte(rapid.IntRange(0, 2).Draw(t, "key"))}), Fingerprint: 1,
		Holder: entry.Holder{VM: id, ProcessStart: began, Request: s.next}, Retention: time.Hour,
	}
	s.claims[s.next] = c
	until := s.now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(t, "wait")) * time.Millisecond)
	s.take(id, s.controls[id].Propose(s.now, event.ProposeRequest{Request: s.next, Command: c, Deadline: until}, nil))
}

// change proposes a change that races others at the same revision.
func (s *fleetSim) change(t *rapid.T, id model.VMID) {
	n := uint64(len(s.changes)) + 1
	v := contract()
	v.Concurrency = int(n)
	s.changes[n] = model.OpID(fmt.Sprint("op", n))
	expect := model.Revision(rapid.IntRange(1, 3).Draw(t, "expect"))
	s.take(id, s.controls[id].Command(s.now, event.OperatorCommand{Seq: n, Command: entry.Change{Op: s.changes[n], ExpectedRevision: expect, Contract: &v}}, nil))
}

// pass lets time pass and fires the timers.
func (s *fleetSim) pass(period time.Duration) {
	until := s.now.Add(period)
	for {
		next := model.VMID("")
		for _, id := range s.ids {
			if due, ok := s.due[id]; ok && !due.After(until) && (next == "" || due.Before(s.due[next])) {
				next = id
			}
		}
		if next == "" {
			s.now = until
			return
		}
		s.now = s.due[next]
		delete(s.due, next)
		s.take(next, s.controls[next].Timer(s.now, event.TimerID{Kind: event.TimerPropose}, nil))
	}
}

// deliver takes a message out of the network, or a copy of it, or loses it.
func (s *fleetSim) deliver(t *rapid.T) {
	i := rapid.IntRange(0, len(s.transit)-1).Draw(t, "message")
	m := s.transit[i]
	fate := rapid.IntRange(0, 5).Draw(t, "fate")
	if fate != 0 {
		s.transit = slices.Delete(s.transit, i, i+1)
	}
	if fate != 1 {
		s.take(m.to, s.controls[m.to].Peer(s.now, event.PeerMessage{From: m.from, Message: m.tell.Message}, nil))
	}
}

// elect makes a VM the leader. It keeps part of the entries that are not
// committed; the leader before may not know.
func (s *fleetSim) elect(t *rapid.T, id model.VMID) {
	before := s.logs[s.cluster.leader]
	kept := rapid.IntRange(0, len(s.cluster.tail)).Draw(t, "kept")
	s.cluster.tail = slices.Clone(s.cluster.tail[:kept])
	s.cluster.term++
	s.cluster.leader = id
	s.logs[id].deposed = false
	if before != nil && before.id != id && rapid.Bool().Draw(t, "deposed") {
		before.deposed, before.term, before.lost = true, s.cluster.term-1, uint64(100+len(s.cluster.committed))
	}
	s.cluster.append(s.now, entry.Noop{})
	s.sync(id)
}

// settle heals everything and commits everything.
func (s *fleetSim) settle() {
	for range 100 {
		s.cluster.committed = append(s.cluster.committed, s.cluster.tail...)
		s.cluster.tail = nil
		for _, id := range s.ids {
			if log := s.logs[id]; log != nil {
				log.deposed = false
				log.visible = len(s.cluster.committed)
				s.sync(id)
			}
		}
		for _, m := range s.transit {
			s.take(m.to, s.controls[m.to].Peer(s.now, event.PeerMessage{From: m.from, Message: m.tell.Message}, nil))
		}
		s.transit = nil
		s.pass(200 * time.Millisecond)
	}
}

// Guards against a request that runs twice, an answer "certainly not appended"
// of a command that commits, two winners of one revision and VMs that end with
// different configurations, under lost, late and repeated messages and changes
// of the leader.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFleetSim()
		s.cluster.leader = "vm0"
		s.sync("vm0")
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.step(t)
		}
		s.settle()
		s.check(t)
	})
}

func (s *fleetSim) check(t *rapid.T) {
	for _, e := range s.cluster.committed {
		switch c := e.Command.(type) {
		case entry.Claim:
			if s.answers[c.Holder.Request] == entry.StatusNoMajority {
				t.Fatalf("claim %d was answered majority and committed at %d", c.Holder.Request, e.Index)
			}
		case entry.Change:
			if c.Op != "" && s.results[c.Op].Status == entry.StatusNoMajority {
				t.Fatalf("change %s was answered majority and committed at %d", c.Op, e.Index)
			}
		}
	}
	runs := make(map[model.Key]int)
	for request, c := range s.claims {
		status, ok := s.answers[request]
		if !ok {
			t.Fatalf("claim %d has no answer", request)
		}
		if status == entry.StatusOK {
			runs[c.Key]++
		}
		if runs[c.Key] > 1 {
			t.Fatalf("key %v runs more than once", c.Key)
		}
	}
	winners := make(map[model.Revision]model.OpID)
	for _, op := range s.changes {
		r, ok := s.results[op]
		if !ok {
			t.Fatalf("change %s has no answer", op)
		}
		if other, taken := winners[r.Revision]; taken && r.Status == entry.StatusOK {
			t.Fatalf("%s and %s both made revision %d", op, other, r.Revision)
		}
		if r.Status == entry.StatusOK {
			winners[r.Revision] = op
		}
	}
	want := s.controls["vm0"].Follower()
	for id := range s.logs {
		if got := s.controls[id].Follower(); got.Checksum() != want.Checksum() {
			t.Fatalf("%s ends at revision %d, vm0 at %d", id, got.Revision(), want.Revision())
		}
	}
}
