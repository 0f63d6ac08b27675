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

// Sizes of a tier. The limits are above the number of VMs, as floors are at
// least 1.
const (
	tierVMs     = 7
	tierDisks   = 3
	tierLimit   = 30 // concurrency of each contract, and connections of each upstream
	tierShards  = 2
	tierVersion = 7
)

// tier drives whole VMs in virtual time: control and traffic states, disks that
// lose what they did not sync, a network and upstreams with faults. Its record
// checks the promises as it goes.
type tier struct {
	*record
	random  *rand.Rand
	now     time.Time
	queue   happenings
	order   uint64
	genesis *model.Topology
	hosts   []*host
	loss    float64 // share of messages lost, and of messages repeated
	fickle  float64 // share of attempts that fail
	group   []int   // by host; hosts of different groups are cut off from each other
	disks   model.DiskID
	next    uint64 // of requests, commands and keys
}

// host is one VM. Events of an earlier boot are dropped.
type host struct {
	vm      model.VM
	up      bool
	boot    int
	began   time.Time
	states  [2]node.State // by event.Role
	timers  map[tierTimer]time.Time
	disk    event.DiskLoaded
	pending []effect.Effect // writes that are not synced
	busy    bool            // a sync is in flight
	broken  bool            // the disk takes no writes until the next start
	view    *event.View     // of the traffic state; nil before the first one
	served  model.Revision  // highest revision that was ever in force
}

// tierTimer is a timer of one of a host's states.
type tierTimer struct {
	role event.Role
	id   event.TimerID
}

// happening is something that takes place later.
type happening struct {
	at    time.Time
	order uint64
	do    func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].order < h[j].order
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newTier(t *testing.T, seed uint64) *tier {
	w := &tier{
		record: newRecord(t), random: rand.New(rand.NewPCG(seed, 0)), now: began, group: make([]int, tierVMs),
		genesis: &model.Topology{
			Contracts: make(map[string]model.Contract), Upstreams: make(map[model.UpstreamID]model.Upstream),
			VMs: make(map[model.VMID]model.VM),
		},
	}
	for _, customer := range []string{"acme", "beta"} {
		w.genesis.Contracts[customer] = tierContract(customer)
	}
	for shard := range tierShards {
		for replica := range 2 {
			u := model.Upstream{
				ID: model.UpstreamID(fmt.Sprintf("u%d-%d", shard, replica)), Zone: "a", Index: "pairing", Slots: 4, MaxConns: tierLimit,
				Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(100+2*shard+replica)),
			}
			w.genesis.Upstreams[u.ID] = u
		}
	}
	for n := range tierVMs {
		vm := model.VM{
			ID: vmID(n), Zone: model.Zone(rune('a' + n%3)), HasDisk: n < tierDisks,
			PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(200+n)),
		}
		w.genesis.VMs[vm.ID] = vm
		w.hosts = append(w.hosts, &host{vm: vm, disk: event.DiskLoaded{Disk: model.DiskID(n + 1), Created: true}})
	}
	for _, h := range w.hosts {
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
func (w *tier) start(h *host) {
	h.boot++
	h.up, h.busy, h.broken, h.pending, h.view = true, false, false, nil, nil
	h.states, h.timers, h.began = [2]node.State{}, make(map[tierTimer]time.Time), w.now
	s := event.Start{VM: h.vm, Seed: w.random.Uint64(), ProcessStart: h.began, Loops: 1, InitialConfig: w.genesis}
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

// stop crashes a VM. A random prefix of the writes that were not synced may
// have reached the disk all the same.
func (w *tier) stop(h *host) {
	for _, e := range h.pending[:w.random.IntN(len(h.pending)+1)] {
		h.write(e)
	}
	h.up, h.view = false, nil
	h.boot++
	w.disconnect(h)
}

// replace gives a stopped VM an empty disk, and with it a new identity.
func (w *tier) replace(h *host) {
	w.disks++
	h.disk, h.served = event.DiskLoaded{Disk: tierVMs + w.disks, Created: true}, 0
}

// breakDisk ends the writes of a VM with a disk. What it serves from then on is
// on no disk of its own, so it cannot know of it after a restart when a message
// sent before arrives late.
func (w *tier) breakDisk(h *host) {
	h.broken, h.pending, h.busy = true, nil, true
	w.reduce(h, event.RoleControl, event.DiskFailed{Problem: "no space left"})
}

// disconnect tells the other VMs that their connections to a VM broke; some do not
// notice.
func (w *tier) disconnect(lost *host) {
	for _, h := range w.hosts {
		if h != lost && w.random.IntN(3) > 0 {
			w.post(h, event.RoleControl, event.PeerDown{VM: lost.vm.ID}, w.delay(50*time.Millisecond))
		}
	}
}

// write makes an effect durable.
func (h *host) write(e effect.Effect) {
	d := &h.disk
	switch e := e.(type) {
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

func (w *tier) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, happening{at: w.now.Add(d), order: w.order, do: do})
}

// post delivers an event later, unless the VM has crashed by then.
func (w *tier) post(h *host, role event.Role, body event.Body, d time.Duration) {
	boot := h.boot
	w.after(d, func() {
		if h.boot == boot {
			w.reduce(h, role, body)
		}
	})
}

// run lets virtual time pass.
func (w *tier) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(happening)
		w.now = next.at
		next.do()
	}
	w.now = end
}

func (w *tier) delay(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most))) + time.Microsecond
}

func (w *tier) chance(share float64) bool { return w.random.Float64() < share }

// reduce feeds a state of a VM and carries out what it wants.
func (w *tier) reduce(h *host, role event.Role, body event.Body) {
	if !h.up {
		return
	}
	for _, e := range h.states[role].Reduce(event.Event{At: w.now, Body: body}, nil) {
		switch e := e.(type) {
		case effect.SetTimer:
			w.setTimer(h, tierTimer{role, e.ID}, e.At)
		case effect.StopTimer:
			delete(h.timers, tierTimer{role, e.ID})
		case effect.ToControl:
			w.post(h, event.RoleControl, e.Body, 0)
		case effect.ToTraffic:
			w.post(h, event.RoleQuery, e.Body, 0)
			if view, ok := e.Body.(event.View); ok {
				w.viewed(h, &view)
			}
		case effect.SendMessage:
			w.tell(h, e)
		case effect.AppendEntries, effect.SaveVote, effect.SaveImage:
			if !h.broken {
				h.pending = append(h.pending, e)
			}
		case effect.Send:
			w.attempt(h, e)
		case effect.Probe:
			w.post(h, role, tierReport(e.Upstream), w.delay(5*time.Millisecond))
		case effect.AnswerOperator:
			w.responded(e)
		case effect.SendAnswer:
			w.replied(e.Answer)
		case effect.Refuse:
			w.refused(e.Rejection)
		}
	}
	w.sync(h)
}

func (w *tier) setTimer(h *host, timer tierTimer, at time.Time) {
	h.timers[timer] = at
	boot := h.boot
	w.after(max(0, at.Sub(w.now)), func() {
		if due, ok := h.timers[timer]; h.boot == boot && ok && due.Equal(at) {
			delete(h.timers, timer)
			w.reduce(h, timer.role, event.Timer{ID: timer.id})
		}
	})
}

// viewed notes what a VM serves from now on, and checks the sum of the shares.
func (w *tier) viewed(h *host, view *event.View) {
	if h.view != nil && view.Topology.Revision < h.view.Topology.Revision {
		w.t.Fatalf("%s goes back from revision %d to %d", h.vm.ID, h.view.Topology.Revision, view.Topology.Revision)
	}
	if h.vm.HasDisk && view.Topology.Revision < h.served {
		w.t.Fatalf("%s served revision %d before its restart and %d after", h.vm.ID, h.served, view.Topology.Revision)
	}
	h.view = view
	if !h.broken {
		h.served = max(h.served, view.Topology.Revision)
	}
	w.inForce(h.vm.ID, view.Topology)
	concurrency, conns := make(map[string]int), make(map[model.UpstreamID]int)
	for _, other := range w.hosts {
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
			w.t.Fatalf("%v: VMs share %d requests of %s, limit %d", w.now.Sub(began), n, customer, tierLimit)
		}
	}
	for id, n := range conns {
		if n > tierLimit {
			w.t.Fatalf("%v: VMs share %d connections of %s, limit %d", w.now.Sub(began), n, id, tierLimit)
		}
	}
}

// tell carries a message, unless it is lost. A repeated one may come much later.
func (w *tier) tell(from *host, e effect.SendMessage) {
	to := slices.IndexFunc(w.hosts, func(h *host) bool { return h.vm.ID == e.To })
	if to < 0 || w.chance(w.loss) {
		return
	}
	if !e.Addr.IsValid() {
		w.t.Fatalf("%s tells %s %T without an address", from.vm.ID, e.To, e.Message)
	}
	pass := func() {
		if w.group[to] == w.group[slices.Index(w.hosts, from)] {
			w.reduce(w.hosts[to], event.RoleControl, event.PeerMessage{From: from.vm.ID, Message: e.Message})
		}
	}
	w.after(w.delay(10*time.Millisecond), pass)
	if w.chance(w.loss) {
		w.after(w.delay(2*time.Second), pass)
	}
}

// sync writes everything pending after a while.
func (w *tier) sync(h *host) {
	if h.busy || len(h.pending) == 0 {
		return
	}
	h.busy = true
	boot, batch := h.boot, len(h.pending)
	w.after(w.delay(8*time.Millisecond), func() {
		if h.boot != boot || h.broken {
			return
		}
		var synced event.DiskSynced
		for _, e := range h.pending[:batch] {
			h.write(e)
			switch e := e.(type) {
			case effect.SaveVote:
				synced.Seq = e.Seq
			case effect.AppendEntries:
				synced.Seq = e.Seq
			case effect.SaveImage:
				synced.Seq = e.Seq
			}
		}
		h.pending, h.busy = slices.Clone(h.pending[batch:]), false
		w.reduce(h, event.RoleControl, synced)
	})
}

// attempt plays the upstream: it may refuse, lose the request before or after it
// ran, or be slow.
func (w *tier) attempt(h *host, s effect.Send) {
	failed := event.AttemptFailed{Attempt: s.Attempt, Reason: model.FailedReset, Ran: model.RanUnknown}
	arrival := w.delay(5 * time.Millisecond)
	fate := 1.0
	if w.chance(w.fickle) {
		fate = w.random.Float64()
	}
	if fate < 0.4 {
		if fate < 0.2 {
			failed.Reason, failed.Ran = model.FailedRefused, model.RanNo
		}
		w.post(h, event.RoleQuery, failed, arrival)
		return
	}
	w.after(arrival, func() { w.ran(s) })
	done := min(arrival+w.delay(300*time.Millisecond), s.Timeout)
	if fate < 0.8 {
		w.post(h, event.RoleQuery, failed, done)
		return
	}
	w.post(h, event.RoleQuery, event.AnswerReceived{
		Attempt: s.Attempt, Version: s.Version, ShardCount: tierShards, Shard: s.Shard, Items: []model.Item{{ID: string(s.Upstream)}},
	}, done)
}

func tierReport(id model.UpstreamID) event.ProbeResult {
	return event.ProbeResult{Upstream: id, Reachable: true, Snapshots: []model.HeldSnapshot{{
		Index: "pairing", Version: tierVersion, ShardCount: tierShards, HeldShards: []int{int(id[1] - '0')},
	}}}
}

// request sends a request to a VM. The zero key makes it idempotent.
func (w *tier) request(h *host, customer string, key model.Key) {
	if h.view == nil {
		return
	}
	w.next++
	r := event.QueryRequest{
		ID: model.RequestID(w.next), Customer: customer, Credential: sha256.Sum256([]byte(customer)), Index: "pairing",
		Body: []byte("q"), Fingerprint: model.Fingerprint(key[15]), Wait: 2 * time.Second, Key: key,
	}
	if key.IsZero() {
		r.Fingerprint = model.Fingerprint(w.next)
	}
	w.requested(r, h.vm.ID, h.boot)
	w.reduce(h, event.RoleQuery, r)
}

// change sends an operator's change to a VM.
func (w *tier) change(h *host, c entry.Change) {
	w.next++
	w.commanded(w.next, c)
	w.reduce(h, event.RoleControl, event.OperatorCommand{Seq: w.next, Command: c})
}
