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

// sharedLogState is the log that the VMs of a fleet share.
type sharedLogState struct {
	term        uint64
	leader      model.VMID
	committed   []entry.Entry
	uncommitted []entry.Entry // entries of the leader
	now         func() time.Time
}

// sharedLog is one VM's view of a sharedLogState. A deposed leader that does not
// know it still accepts commands, which never commit.
type sharedLog struct {
	fakeLog
	id             model.VMID
	shared         *sharedLogState
	deposed        bool
	term           uint64
	lostEntries    uint64 // index offset of entries accepted since it was deposed; starts high, so that they collide with no others
	applied        int    // committed entries returned by Committed
	knownCommitted int    // committed entries that this VM knows about
	reads          []uint64
}

func (l *sharedLog) LogStatus() plane.LogStatus {
	if l.deposed {
		return plane.LogStatus{Leader: l.id, Leading: true, Term: l.term}
	}
	return plane.LogStatus{Leader: l.shared.leader, Leading: l.shared.leader == l.id, Term: l.shared.term, LastMajority: l.shared.now()}
}

func (l *sharedLog) Propose(at time.Time, c entry.Command, out []effect.Effect) (uint64, entry.Status, []effect.Effect) {
	if l.deposed {
		l.lostEntries++
		return uint64(l.knownCommitted) + l.lostEntries, entry.StatusOK, out
	}
	if l.shared.leader != l.id {
		return 0, entry.StatusNotLeader, out
	}
	return l.shared.append(at, c), entry.StatusOK, out
}

func (l *sharedLog) Committed() (*entry.Image, []entry.Entry) {
	entries := l.shared.committed[l.applied:l.knownCommitted]
	l.applied = l.knownCommitted
	return nil, entries
}

func (c *sharedLogState) append(at time.Time, command entry.Command) uint64 {
	index := uint64(len(c.committed)+len(c.uncommitted)) + 1
	c.uncommitted = append(c.uncommitted, entry.Entry{Index: index, Term: c.term, At: at, Command: command})
	return index
}

// fleetSim is a fleet of three disk VMs and one entry VM whose messages may be
// lost, late or repeated, while leaders change.
type fleetSim struct {
	now         time.Time
	log         *sharedLogState
	ids         []model.VMID
	controls    map[model.VMID]*plane.Control
	logs        map[model.VMID]*sharedLog
	timerDue    map[model.VMID]time.Time
	inTransit   []sentMessage
	lastRequest model.RequestID
	claims      map[model.RequestID]entry.Claim
	answers     map[model.RequestID]entry.Status
	operations  map[uint64]model.OpID
	results     map[model.OpID]entry.Result

	zoneOperator  *zoneOperator // nil when nobody gives orders about zones
	lastZoneOrder uint64
}

// firstZoneOrder keeps the numbers of orders about zones apart from those of changes.
const firstZoneOrder = 1 << 32

type sentMessage struct {
	from, to model.VMID
	message  effect.SendMessage
}

func newFleetSim() *fleetSim {
	s := &fleetSim{
		now: startTime, log: &sharedLogState{term: 1}, ids: []model.VMID{"vm0", "vm1", "vm2", "vm3"},
		controls: make(map[model.VMID]*plane.Control), logs: make(map[model.VMID]*sharedLog),
		timerDue: make(map[model.VMID]time.Time), claims: make(map[model.RequestID]entry.Claim),
		answers: make(map[model.RequestID]entry.Status), operations: make(map[uint64]model.OpID),
		results: make(map[model.OpID]entry.Result), lastZoneOrder: firstZoneOrder,
	}
	s.log.now = func() time.Time { return s.now }
	initial := fleetTopology(true)
	initial.VMs["vm3"] = model.VM{ID: "vm3", Zone: "a", HasDisk: true}
	for _, id := range s.ids {
		s.controls[id] = &plane.Control{}
		if initial.VMs[id].HasDisk {
			s.logs[id] = &sharedLog{id: id, shared: s.log}
			s.controls[id].SetLog(s.logs[id])
		}
		start := event.Start{Role: event.RoleControl, VM: initial.VMs[id], ProcessStart: startTime, Loops: 1, InitialConfig: initial}
		s.carryOut(id, s.controls[id].Start(s.now, start, nil))
	}
	return s
}

// carryOut carries out the effects of a VM.
func (s *fleetSim) carryOut(id model.VMID, out []effect.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case effect.SetTimer:
			s.timerDue[id] = e.At
		case effect.SendMessage:
			s.inTransit = append(s.inTransit, sentMessage{from: id, to: e.To, message: e})
		case effect.AnswerOperator:
			if op, ok := s.operations[e.Seq]; ok {
				s.results[op] = e.Result
			}
			s.zoneOperator.answered(e)
		case effect.ToTraffic:
			if p, ok := e.Body.(event.ProposeResponse); ok {
				if _, isClaim := p.Command.(entry.Claim); isClaim {
					s.answers[p.Request] = p.Result.Status
				}
			}
		}
	}
}

func (s *fleetSim) diskSynced(id model.VMID) {
	s.carryOut(id, s.controls[id].HandleDiskSynced(s.now, event.DiskSynced{}, nil))
}

// step does one random thing that may happen in a fleet.
func (s *fleetSim) step(t *rapid.T) {
	id := rapid.SampledFrom(s.ids).Draw(t, "vm")
	log := s.logs[id]
	switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
	case action == 0:
		s.claim(t, id)
	case action == 1:
		s.change(t, id)
	case action <= 3:
		s.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	case action <= 6 && len(s.inTransit) > 0:
		s.deliver(t)
	case action == 7 && log != nil:
		s.elect(t, id)
	case action == 8:
		n := rapid.IntRange(0, len(s.log.uncommitted)).Draw(t, "committed")
		s.log.committed = append(s.log.committed, s.log.uncommitted[:n]...)
		s.log.uncommitted = slices.Clone(s.log.uncommitted[n:])
	case log != nil && !log.deposed:
		log.knownCommitted = rapid.IntRange(log.knownCommitted, len(s.log.committed)).Draw(t, "visible")
		s.diskSynced(id)
	}
}

func (s *fleetSim) claim(t *rapid.T, id model.VMID) {
	s.lastRequest++
	c := entry.Claim{
		Customer: "acme", Key: model.NewKey(startTime, [10]byte{byte(rapid.IntRange(0, 2).Draw(t, "key"))}), Fingerprint: 1,
		Holder: entry.ClaimHolder{VM: id, ProcessStart: startTime, Request: s.lastRequest}, Retention: time.Hour,
	}
	s.claims[s.lastRequest] = c
	until := s.now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(t, "wait")) * time.Millisecond)
	s.carryOut(id, s.controls[id].HandleProposeRequest(s.now, event.ProposeRequest{Request: s.lastRequest, Command: c, Deadline: until}, nil))
}

// change proposes a change that competes with others for the same revision.
func (s *fleetSim) change(t *rapid.T, id model.VMID) {
	n := uint64(len(s.operations)) + 1
	changed := acmeContract()
	changed.Concurrency = int(n)
	s.operations[n] = model.OpID(fmt.Sprint("op", n))
	expected := model.Revision(rapid.IntRange(1, 3).Draw(t, "expect"))
	s.carryOut(id, s.controls[id].HandleOperatorCommand(s.now, event.OperatorCommand{
		Seq: n, Command: entry.Change{Op: s.operations[n], ExpectedRevision: expected, Contract: &changed},
	}, nil))
}

// advance lets time pass and fires the timers.
func (s *fleetSim) advance(period time.Duration) {
	until := s.now.Add(period)
	for {
		next := model.VMID("")
		for _, id := range s.ids {
			if due, ok := s.timerDue[id]; ok && !due.After(until) && (next == "" || due.Before(s.timerDue[next])) {
				next = id
			}
		}
		if next == "" {
			s.now = until
			return
		}
		s.now = s.timerDue[next]
		delete(s.timerDue, next)
		s.carryOut(next, s.controls[next].HandleTimer(s.now, event.TimerID{Kind: event.TimerPropose}, nil))
	}
}

// deliver removes a message from the network and delivers it, delivers a copy
// of it, or loses it.
func (s *fleetSim) deliver(t *rapid.T) {
	i := rapid.IntRange(0, len(s.inTransit)-1).Draw(t, "message")
	m := s.inTransit[i]
	fate := rapid.IntRange(0, 5).Draw(t, "fate")
	if fate != 0 {
		s.inTransit = slices.Delete(s.inTransit, i, i+1)
	}
	if fate != 1 {
		s.carryOut(m.to, s.controls[m.to].HandlePeerMessage(s.now, event.PeerMessage{From: m.from, Message: m.message.Message}, nil))
	}
}

// elect makes a VM the leader. It keeps some of the uncommitted entries. The
// previous leader may not know that it was deposed.
func (s *fleetSim) elect(t *rapid.T, id model.VMID) {
	before := s.logs[s.log.leader]
	kept := rapid.IntRange(0, len(s.log.uncommitted)).Draw(t, "kept")
	s.log.uncommitted = slices.Clone(s.log.uncommitted[:kept])
	s.log.term++
	s.log.leader = id
	s.logs[id].deposed = false
	if before != nil && before.id != id && rapid.Bool().Draw(t, "deposed") {
		before.deposed, before.term, before.lostEntries = true, s.log.term-1, uint64(100+len(s.log.committed))
	}
	s.log.append(s.now, entry.Noop{})
	s.diskSynced(id)
}

// heal delivers all messages and commits all entries, without faults.
func (s *fleetSim) heal() {
	for range 100 {
		s.log.committed = append(s.log.committed, s.log.uncommitted...)
		s.log.uncommitted = nil
		for _, id := range s.ids {
			if log := s.logs[id]; log != nil {
				log.deposed = false
				log.knownCommitted = len(s.log.committed)
				s.diskSynced(id)
			}
		}
		for _, m := range s.inTransit {
			s.carryOut(m.to, s.controls[m.to].HandlePeerMessage(s.now, event.PeerMessage{From: m.from, Message: m.message.Message}, nil))
		}
		s.inTransit = nil
		s.advance(200 * time.Millisecond)
	}
}

// Guards, with lost, late and repeated messages and changing leaders, against a
// request that runs twice, a command that commits after it was answered as not
// appended, two changes that both make the same revision, and VMs that end with
// different configurations.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFleetSim()
		s.log.leader = "vm0"
		s.diskSynced("vm0")
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.step(t)
		}
		s.heal()
		s.check(t)
	})
}

func (s *fleetSim) check(t *rapid.T) {
	for _, e := range s.log.committed {
		switch c := e.Command.(type) {
		case entry.Claim:
			if s.answers[c.Holder.Request] == entry.StatusNoMajority {
				t.Fatalf("claim %d was answered as not appended and committed at %d", c.Holder.Request, e.Index)
			}
		case entry.Change:
			if c.Op != "" && s.results[c.Op].Status == entry.StatusNoMajority {
				t.Fatalf("change %s was answered as not appended and committed at %d", c.Op, e.Index)
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
	for _, op := range s.operations {
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
	want := s.controls["vm0"].TreeStore()
	for id := range s.logs {
		if got := s.controls[id].TreeStore(); got.Checksum() != want.Checksum() {
			t.Fatalf("%s ends at revision %d, vm0 at %d", id, got.Revision(), want.Revision())
		}
	}
}
