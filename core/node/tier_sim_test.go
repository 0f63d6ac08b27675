package node_test

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/node"
)

// Sizes of the simulated tier. tierLimit is above the number of VMs, because the
// floor of a limit that each VM has is at least 1.
const (
	tierVMCount    = 7
	tierDiskVMs    = 3
	tierLimit      = 30 // concurrency of each contract, and connections of each upstream
	tierShardCount = 2
	tierVersion    = 7
)

// tierSim simulates VMs in virtual time, each with a control and a query state,
// and their faults: disks that lose writes that were not synced, a network that
// loses and repeats messages, and upstreams that fail. Its consistencyChecker
// checks the guarantees during the simulation.
type tierSim struct {
	*consistencyChecker
	random        *rand.Rand
	now           time.Time
	queue         tierEventQueue
	lastSeq       uint64
	initialConfig *model.Topology
	vms           []*tierVM
	messageLoss   float64      // fraction of the messages that are lost, and of those that are repeated
	failureRate   float64      // fraction of the attempts that fail
	partition     []int        // group of each VM; VMs in different groups cannot reach each other
	replacedDisks model.DiskID // number of replaced disks, from which the id of the next one is derived
	lastID        uint64       // of requests, commands and keys
}

// tierVM is one VM of a tierSim.
type tierVM struct {
	vm            model.VM
	running       bool
	boot          int // changes at each start and crash; events for an earlier boot are dropped
	processStart  time.Time
	states        [2]node.State // by event.Role
	timers        map[tierTimerID]time.Time
	disk          event.DiskLoaded
	pending       []effect.Effect // writes that are not synced yet
	syncing       bool            // a sync is in progress
	diskFailed    bool            // the disk accepts no writes until the next start
	view          *event.View     // of the query state; nil before the first one
	highestServed model.Revision  // highest revision that was in force with a working disk
}

// tierTimerID identifies a timer of one of a VM's states.
type tierTimerID struct {
	role event.Role
	id   event.TimerID
}

// tierEvent is an action that is scheduled for a time.
type tierEvent struct {
	at  time.Time
	seq uint64
	do  func()
}

type tierEventQueue []tierEvent

func (h tierEventQueue) Len() int { return len(h) }
func (h tierEventQueue) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h tierEventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *tierEventQueue) Push(x any)   { *h = append(*h, x.(tierEvent)) }
func (h *tierEventQueue) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newTierSim(t *testing.T, seed uint64) *tierSim {
	w := &tierSim{
		consistencyChecker: newConsistencyChecker(t), random: rand.New(rand.NewPCG(seed, 0)), now: startTime, partition: make([]int, tierVMCount),
		initialConfig: &model.Topology{
			Contracts: make(map[string]model.Contract), Upstreams: make(map[model.UpstreamID]model.Upstream),
			VMs: make(map[model.VMID]model.VM),
		},
	}
	for _, customer := range []string{"acme", "beta"} {
		w.initialConfig.Contracts[customer] = tierContract(customer)
	}
	for shard := range tierShardCount {
		for replica := range 2 {
			u := model.Upstream{
				ID: model.UpstreamID(fmt.Sprintf("u%d-%d", shard, replica)), Zone: "a", Index: "pairing", Slots: 4, MaxConns: tierLimit,
				Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(100+2*shard+replica)),
			}
			w.initialConfig.Upstreams[u.ID] = u
		}
	}
	for n := range tierVMCount {
		vm := model.VM{
			ID: vmID(n), Zone: model.Zone(rune('a' + n%3)), HasDisk: n < tierDiskVMs,
			PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(200+n)),
		}
		w.initialConfig.VMs[vm.ID] = vm
		w.vms = append(w.vms, &tierVM{vm: vm, disk: event.DiskLoaded{Disk: model.DiskID(n + 1), Created: true}})
	}
	for _, h := range w.vms {
		w.start(h)
	}
	return w
}

func tierContract(customer string) model.Contract {
	return model.Contract{
		Customer: customer, Credential: sha256.Sum256([]byte(customer)), Indexes: []string{"pairing"},
		Concurrency: tierLimit, Capacity: 1, RetryBudget: 0.5, Retention: time.Hour,
		Classes: []model.Class{{Name: "now", Wait: 2 * time.Second, Price: 1, Weight: 1, MinCoverage: 0.5}},
	}
}

// start starts a stopped VM.
func (w *tierSim) start(h *tierVM) {
	h.boot++
	h.running, h.syncing, h.diskFailed, h.pending, h.view = true, false, false, nil, nil
	h.states, h.timers, h.processStart = [2]node.State{}, make(map[tierTimerID]time.Time), w.now
	s := event.Start{VM: h.vm, Seed: w.random.Uint64(), ProcessStart: h.processStart, Loops: 1, InitialConfig: w.initialConfig}
	for _, role := range []event.Role{event.RoleQuery, event.RoleControl} {
		s.Role = role
		w.reduce(h, role, s)
	}
	if h.vm.HasDisk {
		loaded := h.disk
		loaded.Entries = slices.Clone(loaded.Entries)
		h.disk.Created = false
		w.reduce(h, event.RoleControl, loaded)
	}
}

// crash stops a VM. A random prefix of the writes that were not synced may still
// have reached the disk.
func (w *tierSim) crash(h *tierVM) {
	for _, e := range h.pending[:w.random.IntN(len(h.pending)+1)] {
		persist(&h.disk, e)
	}
	h.running, h.view = false, nil
	h.boot++
	w.disconnect(h)
}

// replaceDisk gives a stopped VM an empty disk, which makes it a new replica.
func (w *tierSim) replaceDisk(h *tierVM) {
	w.replacedDisks++
	h.disk, h.highestServed = event.DiskLoaded{Disk: tierVMCount + w.replacedDisks, Created: true}, 0
}

// failDisk makes all later writes of a VM fail. Revisions that it serves from then
// on are not on its disk, so that it may serve an older one after a restart if a
// message sent earlier arrives late.
func (w *tierSim) failDisk(h *tierVM) {
	h.diskFailed, h.pending, h.syncing = true, nil, true
	w.reduce(h, event.RoleControl, event.DiskFailed{Problem: "no space left"})
}

// disconnect breaks the connections to a VM. Some of the other VMs do not notice.
func (w *tierSim) disconnect(lost *tierVM) {
	for _, h := range w.vms {
		if h != lost && w.random.IntN(3) > 0 {
			w.deliver(h, event.RoleControl, event.PeerDown{VM: lost.vm.ID}, w.randomDelay(50*time.Millisecond))
		}
	}
}

// persist applies a write to a disk.
func persist(d *event.DiskLoaded, e effect.Effect) {
	switch e := e.(type) {
	case effect.SaveFounders:
		d.Founders = e.VMs
	case effect.SaveVote:
		d.Term, d.Vote = e.Term, e.Vote
	case effect.AppendEntries:
		keep := int(e.Entries[0].Index - d.Image.Index - 1)
		d.Entries = append(slices.Clone(d.Entries[:keep]), e.Entries...)
	case effect.SaveImage:
		keep := int(e.Image.Index) - int(d.Image.Index)
		if keep > 0 && keep <= len(d.Entries) && d.Entries[keep-1].Term == e.Image.Term {
			d.Entries = slices.Clone(d.Entries[keep:])
		} else {
			d.Entries = nil
		}
		d.Image = e.Image
	}
}

// writeSeq returns the number of a write, 0 without one.
func writeSeq(e effect.Effect) uint64 {
	switch e := e.(type) {
	case effect.SaveVote:
		return e.Seq
	case effect.AppendEntries:
		return e.Seq
	case effect.SaveImage:
		return e.Seq
	default:
		return 0
	}
}

func (w *tierSim) schedule(d time.Duration, do func()) {
	w.lastSeq++
	heap.Push(&w.queue, tierEvent{at: w.now.Add(d), seq: w.lastSeq, do: do})
}

// deliver schedules an event for a VM. It is dropped if the VM crashes before.
func (w *tierSim) deliver(h *tierVM, role event.Role, body event.Body, d time.Duration) {
	boot := h.boot
	w.schedule(d, func() {
		if h.boot == boot {
			w.reduce(h, role, body)
		}
	})
}

// advance runs the simulation for a duration of virtual time.
func (w *tierSim) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(tierEvent)
		w.now = next.at
		next.do()
	}
	w.now = end
}

func (w *tierSim) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit))) + time.Microsecond
}

func (w *tierSim) randomBool(probability float64) bool { return w.random.Float64() < probability }

// reduce passes an event to a state of a VM and carries out the effects.
func (w *tierSim) reduce(h *tierVM, role event.Role, body event.Body) {
	if !h.running {
		return
	}
	for _, e := range h.states[role].Reduce(event.Event{At: w.now, Body: body}, nil) {
		switch e := e.(type) {
		case effect.SetTimer:
			w.setTimer(h, tierTimerID{role, e.ID}, e.At)
		case effect.StopTimer:
			delete(h.timers, tierTimerID{role, e.ID})
		case effect.ToControl:
			w.deliver(h, event.RoleControl, e.Body, 0)
		case effect.ToTraffic:
			w.deliver(h, event.RoleQuery, e.Body, 0)
			if view, ok := e.Body.(event.View); ok {
				w.checkView(h, &view)
			}
		case effect.SendMessage:
			w.transmit(h, e)
		case effect.AppendEntries, effect.SaveVote, effect.SaveImage:
			if !h.diskFailed {
				h.pending = append(h.pending, e)
			}
		case effect.Send:
			w.simulateAttempt(h, e)
		case effect.Probe:
			w.deliver(h, role, tierProbeResult(e.Upstream), w.randomDelay(5*time.Millisecond))
		case effect.AnswerOperator:
			w.recordResult(e)
		case effect.SendAnswer:
			w.recordAnswer(e.Answer)
		case effect.Refuse:
			w.recordRefusal(e.Refusal)
		}
	}
	w.syncDisk(h)
}

func (w *tierSim) setTimer(h *tierVM, timer tierTimerID, at time.Time) {
	h.timers[timer] = at
	boot := h.boot
	w.schedule(max(0, at.Sub(w.now)), func() {
		if due, ok := h.timers[timer]; h.boot == boot && ok && due.Equal(at) {
			delete(h.timers, timer)
			w.reduce(h, timer.role, event.Timer{ID: timer.id})
		}
	})
}

// checkView records the view that a VM serves from now on. It checks that the
// revision does not decrease, and that the quotas of all VMs add up to at most the
// limits.
func (w *tierSim) checkView(h *tierVM, view *event.View) {
	if h.view != nil && view.Topology.Revision < h.view.Topology.Revision {
		w.t.Fatalf("%s goes back from revision %d to %d", h.vm.ID, h.view.Topology.Revision, view.Topology.Revision)
	}
	if h.vm.HasDisk && view.Topology.Revision < h.highestServed {
		w.t.Fatalf("%s served revision %d before its restart and %d after", h.vm.ID, h.highestServed, view.Topology.Revision)
	}
	h.view = view
	if !h.diskFailed {
		h.highestServed = max(h.highestServed, view.Topology.Revision)
	}
	w.recordConfig(h.vm.ID, view.Topology)
	concurrency, conns := make(map[string]int), make(map[model.UpstreamID]int)
	for _, other := range w.vms {
		if other.view == nil {
			continue
		}
		for customer, n := range other.view.Quota.Concurrency {
			concurrency[customer] += n
		}
		for id, n := range other.view.Quota.Conns {
			conns[id] += n
		}
	}
	for customer, n := range concurrency {
		if n > tierLimit {
			w.t.Fatalf("%v: the VMs' quotas add up to %d requests of %s, limit %d", w.now.Sub(startTime), n, customer, tierLimit)
		}
	}
	for id, n := range conns {
		if n > tierLimit {
			w.t.Fatalf("%v: the VMs' quotas add up to %d connections to %s, limit %d", w.now.Sub(startTime), n, id, tierLimit)
		}
	}
}

// transmit delivers a message, unless it is lost or the VMs are partitioned. Some
// messages are delivered again, possibly much later.
func (w *tierSim) transmit(from *tierVM, e effect.SendMessage) {
	to := slices.IndexFunc(w.vms, func(h *tierVM) bool { return h.vm.ID == e.To })
	if to < 0 || w.randomBool(w.messageLoss) {
		return
	}
	if !e.Addr.IsValid() {
		w.t.Fatalf("%s sends %s a %T without an address", from.vm.ID, e.To, e.Message)
	}
	deliverMessage := func() {
		if w.partition[to] == w.partition[slices.Index(w.vms, from)] {
			w.reduce(w.vms[to], event.RoleControl, event.PeerMessage{From: from.vm.ID, Message: e.Message})
		}
	}
	w.schedule(w.randomDelay(10*time.Millisecond), deliverMessage)
	if w.randomBool(w.messageLoss) {
		w.schedule(w.randomDelay(2*time.Second), deliverMessage)
	}
}

// syncDisk schedules the sync of all pending writes, one at a time.
func (w *tierSim) syncDisk(h *tierVM) {
	if h.syncing || len(h.pending) == 0 {
		return
	}
	h.syncing = true
	boot, batch := h.boot, len(h.pending)
	w.schedule(w.randomDelay(8*time.Millisecond), func() {
		if h.boot != boot || h.diskFailed {
			return
		}
		var synced event.DiskSynced
		for _, e := range h.pending[:batch] {
			persist(&h.disk, e)
			synced.Seq = max(synced.Seq, writeSeq(e))
		}
		h.pending, h.syncing = slices.Clone(h.pending[batch:]), false
		w.reduce(h, event.RoleControl, synced)
	})
}

// simulateAttempt simulates the upstream of an attempt. It may refuse the
// connection, lose the request or the answer, or be slow.
func (w *tierSim) simulateAttempt(h *tierVM, s effect.Send) {
	failure := event.AttemptFailed{Attempt: s.Attempt, Reason: model.FailedReset, Ran: model.RanUnknown}
	arrival := w.randomDelay(5 * time.Millisecond)
	outcome := 1.0
	if w.randomBool(w.failureRate) {
		outcome = w.random.Float64()
	}
	if outcome < 0.4 {
		if outcome < 0.2 {
			failure.Reason, failure.Ran = model.FailedRefused, model.RanNo
		}
		w.deliver(h, event.RoleQuery, failure, arrival)
		return
	}
	w.schedule(arrival, func() { w.recordRun(s) })
	done := min(arrival+w.randomDelay(300*time.Millisecond), s.Timeout)
	if outcome < 0.8 {
		w.deliver(h, event.RoleQuery, failure, done)
		return
	}
	w.deliver(h, event.RoleQuery, event.AnswerReceived{
		Attempt: s.Attempt, Version: s.Version, ShardCount: tierShardCount, Shard: s.Shard, Items: []model.Item{{ID: string(s.Upstream)}},
	}, done)
}

func tierProbeResult(id model.UpstreamID) event.ProbeResult {
	return event.ProbeResult{Upstream: id, Reachable: true, Snapshots: []model.HeldSnapshot{{
		Index: "pairing", Version: tierVersion, ShardCount: tierShardCount, HeldShards: []int{int(id[1] - '0')},
	}}}
}

// request sends a caller's request to a VM. With the zero key it is idempotent.
func (w *tierSim) request(h *tierVM, customer string, key model.Key) {
	if h.view == nil {
		return
	}
	w.lastID++
	r := event.QueryRequest{
		ID: model.RequestID(w.lastID), Customer: customer, Credential: sha256.Sum256([]byte(customer)), Index: "pairing",
		Body: []byte("q"), Fingerprint: model.Fingerprint(key[15]), Wait: 2 * time.Second, Key: key,
	}
	if key.IsZero() {
		r.Fingerprint = model.Fingerprint(w.lastID)
	}
	w.recordRequest(r, h.vm.ID, h.boot)
	w.reduce(h, event.RoleQuery, r)
}

// change sends an operator's change to a VM.
func (w *tierSim) change(h *tierVM, c entry.Change) {
	w.lastID++
	w.recordCommand(w.lastID, c)
	w.reduce(h, event.RoleControl, event.OperatorCommand{Seq: w.lastID, Command: c})
}
