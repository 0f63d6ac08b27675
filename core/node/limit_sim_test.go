package node_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
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
	"comfreypulley/core/node"
)

// Sizes of the simulated fleet that shares the limit of an upstream, and what its
// messages and requests take.
const (
	limitMessage    = time.Millisecond
	limitService    = 10 * time.Millisecond
	limitWindow     = 4 * time.Second
	limitSettleTime = 4 * time.Second        // from the first answer that states a limit until the limit is checked
	limitNotice     = 500 * time.Millisecond // from a VM's first such answer until the VM counts
)

// limitFleet simulates control VMs and entry VMs in virtual time, and one service
// with an upstream in each zone. The upstreams state a limit in every answer.
type limitFleet struct {
	now       time.Time
	zones     int
	events    []limitEvent
	seq       int
	random    *rand.Rand
	vms       map[model.VMID]*limitVM
	entryIDs  []model.VMID
	upstreams []model.Upstream
	limit     func(at time.Time) *model.Limit // for each upstream
	weight    func(n int) float64             // part of the requests that entry VM n receives
	cutZone   model.Zone                      // whose VMs and upstreams the others do not reach
	down      model.VMID                      // a VM that sends and receives nothing
	split     bool                            // the control VMs of the first half of the zones do not reach the others
	lastID    model.RequestID
	arrivals  map[model.UpstreamID][]limitArrival
	informed  map[model.VMID]map[model.UpstreamID]time.Time // first answer of an upstream that stated a limit
	firstSeen map[model.UpstreamID]time.Time
	handovers map[model.RequestID]limitHandover
	requests  int
	served    int
	refused   int
	key       model.KeyHash // with which callers authenticate
	coldUntil map[model.UpstreamID]time.Time

	tokenMessages int // sent so far

	disks   map[model.VMID]*event.DiskLoaded // disks that last; nil when each start has a new one
	results map[uint64]entry.Result          // of the operator's commands, by number
}

type limitVM struct {
	vm     model.VM
	boot   int
	states map[event.Role]*node.State
	timers map[string]int // generation of each timer
}

type limitArrival struct {
	at      time.Time
	vm      model.VMID
	request model.RequestID
}

type limitEvent struct {
	at  time.Time
	seq int
	do  func()
}

func newLimitFleet(zones, entryVMs int, rate float64) *limitFleet {
	f := &limitFleet{
		now: startTime, zones: zones, random: rand.New(rand.NewPCG(1, 1)), vms: make(map[model.VMID]*limitVM),
		limit:     func(time.Time) *model.Limit { return &model.Limit{Rate: rate} },
		weight:    func(int) float64 { return 1 },
		handovers: make(map[model.RequestID]limitHandover), arrivals: make(map[model.UpstreamID][]limitArrival), informed: make(map[model.VMID]map[model.UpstreamID]time.Time),
		firstSeen: make(map[model.UpstreamID]time.Time),
	}
	for z := range zones {
		zone := model.Zone(rune('a' + z))
		f.upstreams = append(f.upstreams, model.Upstream{
			ID: model.UpstreamID("u" + zone), Index: "s", Zone: zone, Slots: 20, Addr: netip.MustParseAddrPort(fmt.Sprintf("10.9.0.%d:1", z+1)),
		})
		f.addVM(model.VMID(fmt.Sprintf("10.0.0.%d", z+1)), zone, true)
	}
	for n := range entryVMs {
		id := model.VMID(fmt.Sprintf("10.1.%d.%d", n/200, n%200+1))
		f.entryIDs = append(f.entryIDs, id)
		f.addVM(id, model.Zone(rune('a'+n%zones)), false)
	}
	for _, id := range f.ids() {
		f.start(id)
	}
	return f
}

func (f *limitFleet) ids() []model.VMID {
	ids := make([]model.VMID, 0, len(f.vms))
	for id := range f.vms {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (f *limitFleet) addVM(id model.VMID, zone model.Zone, hasDisk bool) {
	addr := netip.AddrPortFrom(netip.MustParseAddr(string(id)), 7740)
	f.vms[id] = &limitVM{vm: model.VM{ID: id, Zone: zone, PeerAddr: addr, HasDisk: hasDisk}}
}

func (f *limitFleet) after(d time.Duration, do func()) {
	f.seq++
	e := limitEvent{at: f.now.Add(d), seq: f.seq, do: do}
	i, _ := slices.BinarySearchFunc(f.events, e, func(a, b limitEvent) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.seq - b.seq
	})
	f.events = slices.Insert(f.events, i, e)
}

// run advances the time while the fleet receives requests per second.
func (f *limitFleet) run(d time.Duration, perSecond float64) {
	end := f.now.Add(d)
	next := f.now
	for {
		if len(f.events) > 0 && !f.events[0].at.After(next) && !f.events[0].at.After(end) {
			e := f.events[0]
			f.events = f.events[1:]
			f.now = e.at
			e.do()
			continue
		}
		if next.After(end) {
			f.now = end
			return
		}
		f.now = next
		if perSecond > 0 {
			f.request()
		}
		next = next.Add(time.Duration(f.random.ExpFloat64() / max(perSecond, 1) * float64(time.Second)))
	}
}

// start starts the processes of a VM.
func (f *limitFleet) start(id model.VMID) {
	vm := f.vms[id]
	vm.boot++
	vm.states, vm.timers = make(map[event.Role]*node.State), make(map[string]int)
	start := event.Start{VM: vm.vm, Seed: uint64(f.seq), ProcessStart: f.now, Loops: 1, SelfRegistration: true, ChangeBound: 3 * time.Second}
	for _, other := range f.ids() {
		if f.vms[other].vm.HasDisk {
			start.Peers = append(start.Peers, f.vms[other].vm)
		}
	}
	roles := []event.Role{event.RoleControl}
	if vm.vm.HasDisk && (f.disks == nil || vm.boot == 1) {
		start.InitialConfig = &model.Topology{VMs: make(map[model.VMID]model.VM)}
		for _, peer := range start.Peers {
			start.InitialConfig.VMs[peer.ID] = peer
		}
	}
	if !vm.vm.HasDisk {
		start.PortionAddr = vm.vm.PeerAddr
		roles = append(roles, event.RoleProxy)
	}
	for _, role := range roles {
		vm.states[role] = &node.State{}
		start.Role = role
		f.post(id, vm.boot, role, start)
	}
	if vm.vm.HasDisk {
		loaded := event.DiskLoaded{Disk: model.DiskID(vm.boot*1000 + int(id[len(id)-1])), Created: true}
		if f.disks != nil {
			if f.disks[id] == nil {
				f.disks[id] = &loaded
			}
			loaded = *f.disks[id]
		}
		f.post(id, vm.boot, event.RoleControl, loaded)
		return
	}
	f.post(id, vm.boot, event.RoleProxy, event.View{Topology: &model.Topology{Document: &model.Document{
		Version: 1, Services: []model.Service{{Name: "s", MaxConns: 10000}},
		Routes: []model.Route{{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
			Targets: []model.Target{{Service: "s", Weight: 1}},
		}},
	}}})
}

// post delivers an event to a state unless the VM was restarted since.
func (f *limitFleet) post(id model.VMID, boot int, role event.Role, body event.Body) {
	vm := f.vms[id]
	if vm.boot != boot || vm.states[role] == nil {
		return
	}
	f.execute(id, role, vm.states[role].Reduce(event.Event{At: f.now, Body: body}, nil))
}

func (f *limitFleet) execute(id model.VMID, role event.Role, out []effect.Effect) {
	vm := f.vms[id]
	boot := vm.boot
	deliver := func(d time.Duration, role event.Role, body event.Body) {
		f.after(d, func() { f.post(id, boot, role, body) })
	}
	for _, e := range out {
		switch e := e.(type) {
		case effect.SetTimer:
			key := fmt.Sprint(role, e.ID)
			vm.timers[key]++
			generation := vm.timers[key]
			f.after(max(0, e.At.Sub(f.now)), func() {
				if vm.boot == boot && vm.timers[key] == generation {
					f.post(id, boot, role, event.Timer{ID: e.ID})
				}
			})
		case effect.StopTimer:
			vm.timers[fmt.Sprint(role, e.ID)]++
		case effect.SendMessage:
			f.send(id, e.To, e.Message)
		case effect.SaveVote, effect.AppendEntries, effect.SaveImage, effect.SaveFounders:
			f.write(id, e)
		case effect.AnswerOperator:
			if f.results != nil {
				f.results[e.Seq] = e.Result
			}
		case effect.ReadUpstreamList:
			deliver(limitMessage, role, event.UpstreamListRead{Upstreams: f.list()})
		case effect.ToTraffic:
			deliver(0, event.RoleProxy, e.Body)
		case effect.ToControl:
			deliver(0, event.RoleControl, e.Body)
		case effect.Forward:
			f.forward(id, e)
		case effect.SendResponse:
			if !f.endHandover(e.Request, event.HandoverResult{Response: e.Response}) {
				f.served++
			}
		case effect.Refuse:
			if !f.endHandover(e.Refusal.Request, event.HandoverResult{Refusal: &e.Refusal}) {
				f.refused++
			}
		}
	}
}

// write syncs a write, unless the VM is stopped before.
func (f *limitFleet) write(id model.VMID, e effect.Effect) {
	boot := f.vms[id].boot
	f.after(limitMessage, func() {
		if f.vms[id].boot != boot {
			return
		}
		if d := f.disks[id]; d != nil {
			persist(d, e)
		}
		if seq := writeSeq(e); seq > 0 {
			f.post(id, boot, event.RoleControl, event.DiskSynced{Seq: seq})
		}
	})
}

// list returns the platform's list.
func (f *limitFleet) list() []model.Upstream {
	listed := slices.Clone(f.upstreams)
	for i := range listed {
		listed[i].WarmUpLeft = max(0, f.coldUntil[listed[i].ID].Sub(f.now))
	}
	return listed
}

// reachable reports whether messages between two zones arrive.
func (f *limitFleet) reachable(a, b model.Zone) bool {
	return a == b || a != f.cutZone && b != f.cutZone
}

// separated reports whether two control VMs are in different halves of a split.
func (f *limitFleet) separated(a, b model.VM) bool {
	firstHalf := func(vm model.VM) bool { return int(vm.Zone[0]-'a') < f.zones/2 }
	return f.split && a.HasDisk && b.HasDisk && firstHalf(a) != firstHalf(b)
}

func (f *limitFleet) send(from, to model.VMID, m frame.Message) {
	switch m.(type) {
	case frame.TokenRequest, frame.TokenResponse, frame.TokenExchange:
		f.tokenMessages++
	}
	sender, receiver := f.vms[from], f.vms[to]
	if receiver == nil || from == f.down || to == f.down || !f.reachable(sender.vm.Zone, receiver.vm.Zone) || f.separated(sender.vm, receiver.vm) {
		return
	}
	boot := receiver.boot
	f.after(limitMessage, func() { f.post(to, boot, event.RoleControl, event.PeerMessage{From: from, Message: m}) })
}

// forward delivers an attempt to its upstream and the answer to the VM.
func (f *limitFleet) forward(id model.VMID, e effect.Forward) {
	vm, boot := f.vms[id], f.vms[id].boot
	if e.Handover != nil {
		f.handOver(id, e)
		return
	}
	i := slices.IndexFunc(f.upstreams, func(u model.Upstream) bool { return u.ID == e.Upstream })
	if !f.reachable(vm.vm.Zone, f.upstreams[i].Zone) {
		f.after(limitService, func() {
			f.post(id, boot, event.RoleProxy, event.AttemptFailed{Attempt: e.Attempt, Reason: model.FailedRefused, Ran: model.RanNo})
		})
		return
	}
	f.arrivals[e.Upstream] = append(f.arrivals[e.Upstream], limitArrival{at: f.now, vm: id, request: e.Request})
	f.after(limitService, func() {
		limit := f.limit(f.now)
		if limit != nil {
			if f.informed[id] == nil {
				f.informed[id] = make(map[model.UpstreamID]time.Time)
			}
			if _, ok := f.informed[id][e.Upstream]; !ok {
				f.informed[id][e.Upstream] = f.now
			}
			if _, ok := f.firstSeen[e.Upstream]; !ok {
				f.firstSeen[e.Upstream] = f.now
			}
		}
		f.post(id, boot, event.RoleProxy, event.ResponseReceived{
			Attempt: e.Attempt, Receipt: "r", Response: model.Response{Status: 200}, Limit: limit,
		})
	})
}

// limitHandover is a request that one VM has handed over to another.
type limitHandover struct {
	vm      model.VMID
	boot    int
	attempt model.AttemptID
}

// handOver delivers a request to the VM that it is handed over to.
func (f *limitFleet) handOver(id model.VMID, e effect.Forward) {
	from, to := f.vms[id], model.VMID(strings.TrimPrefix(string(e.Upstream), "vm "))
	boot, peer := from.boot, f.vms[to]
	if peer == nil || to == f.down || !f.reachable(from.vm.Zone, peer.vm.Zone) {
		f.after(limitService, func() {
			f.post(id, boot, event.RoleProxy, event.AttemptFailed{Attempt: e.Attempt, Reason: model.FailedRefused, Ran: model.RanNo})
		})
		return
	}
	f.lastID++
	requestID := f.lastID
	f.handovers[requestID] = limitHandover{vm: id, boot: boot, attempt: e.Attempt}
	peerBoot := peer.boot
	f.after(limitMessage, func() {
		f.post(to, peerBoot, event.RoleProxy, event.ProxyRequest{
			ID: requestID, CallerRequestID: fmt.Sprint(requestID), Host: "h", Path: "/x", Wait: e.Timeout, Fingerprint: model.Fingerprint(requestID),
			Handover: e.Handover, Key: f.key,
		})
	})
}

// endHandover delivers the answer to a request that was handed over. It reports false
// for a caller's request.
func (f *limitFleet) endHandover(id model.RequestID, result event.HandoverResult) bool {
	h, ok := f.handovers[id]
	if ok {
		result.Attempt = h.attempt
		f.after(limitMessage, func() { f.post(h.vm, h.boot, event.RoleProxy, result) })
	}
	return ok
}

// request sends a request to an entry VM.
func (f *limitFleet) request() {
	sum := 0.0
	for n := range f.entryIDs {
		sum += f.weight(n)
	}
	draw, n := f.random.Float64()*sum, 0
	for draw -= f.weight(0); draw > 0 && n < len(f.entryIDs)-1; draw -= f.weight(n) {
		n++
	}
	f.lastID++
	f.requests++
	id := f.entryIDs[n]
	f.post(id, f.vms[id].boot, event.RoleProxy, event.ProxyRequest{
		ID: f.lastID, CallerRequestID: fmt.Sprint(f.lastID), Host: "h", Path: "/x", Wait: time.Second, Fingerprint: model.Fingerprint(f.lastID),
		Key: f.key,
	})
}

// check compares the arrivals in every window with one and a half times the limit
// and five more.
func (f *limitFleet) check(t *testing.T) {
	t.Helper()
	for id, arrivals := range f.arrivals {
		first, ok := f.firstSeen[id]
		if !ok {
			continue
		}
		for i, a := range arrivals {
			if a.at.Before(first.Add(limitSettleTime)) {
				continue
			}
			n, allowed := 0, 0.0
			const step = 100 * time.Millisecond
			for d := time.Duration(0); d < limitWindow; d += step {
				if limit := f.limit(a.at.Add(d)); limit != nil {
					allowed += limit.Rate * step.Seconds()
				}
			}
			for _, b := range arrivals[i:] {
				if b.at.Sub(a.at) >= limitWindow {
					break
				}
				if informed, ok := f.informed[b.vm][id]; ok && b.at.Sub(informed) >= limitNotice {
					n++
				}
			}
			if bound := 1.5*allowed + 5; float64(n) > bound {
				t.Fatalf("%s got %d requests in the %s from %s on, want %.1f at most", id, n, limitWindow, a.at.Sub(startTime), bound)
			}
		}
	}
}

// Guards against a fleet that sends an upstream far more than the limit that it
// states, when requests are spread evenly or not, come at once, VMs are replaced, a
// zone is cut off, control VMs are down or apart, or the limit changes, and against
// a fleet that leaves most of the limit unused or keeps callers waiting for it.
func TestFleetKeepsToStatedLimits(t *testing.T) {
	for _, c := range []struct {
		name     string
		zones    int // 3 when zero
		entryVMs int
		rate     float64 // of each upstream, in requests per second
		prepare  func(f *limitFleet)
		during   func(f *limitFleet, second int)
		load     func(second int) float64 // part of the demand; all of it when nil
	}{
		{name: "even", entryVMs: 18, rate: 20},
		{name: "one VM receives most", entryVMs: 18, rate: 20, prepare: func(f *limitFleet) {
			f.weight = func(n int) float64 { return 1 + 60*float64(max(0, 1-n)) }
		}},
		{name: "the load moves", entryVMs: 18, rate: 20, during: func(f *limitFleet, second int) {
			f.weight = func(n int) float64 { return 1 + 30*float64(max(0, 1-max(n-second%18, second%18-n))) }
		}},
		{name: "more VMs than requests per second", entryVMs: 60, rate: 8},
		{name: "the load comes at once", entryVMs: 120, rate: 16, prepare: func(f *limitFleet) {
			f.upstreams = f.upstreams[:1]
		}, load: func(second int) float64 {
			if second%10 < 5 {
				return 0.05
			}
			return 10
		}},
		{name: "a low limit", entryVMs: 18, rate: 1},
		{name: "VMs are replaced", entryVMs: 18, rate: 20, during: func(f *limitFleet, second int) { f.start(f.entryIDs[second%18]) }},
		{name: "a zone is cut off", entryVMs: 18, rate: 20, during: func(f *limitFleet, second int) {
			f.cutZone = ""
			if second%10 >= 5 {
				f.cutZone = "b"
			}
		}},
		{name: "the control VMs are split in half", zones: 4, entryVMs: 20, rate: 60, prepare: func(f *limitFleet) {
			f.upstreams = f.upstreams[:1] // which all VMs use
		}, during: func(f *limitFleet, _ int) { f.split = true }},
		{name: "a control VM is down", entryVMs: 18, rate: 20, prepare: func(f *limitFleet) {
			f.weight = func(n int) float64 { return 1 + 60*float64(max(0, 1-n)) }
		}, during: func(f *limitFleet, _ int) { f.down = "10.0.0.2" }},
		{name: "the limit changes", entryVMs: 18, rate: 20, prepare: func(f *limitFleet) {
			f.limit = func(at time.Time) *model.Limit {
				return &model.Limit{Rate: []float64{40, 10, 25}[int(at.Sub(startTime)/(8*time.Second))%3]}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newLimitFleet(cmp.Or(c.zones, 3), c.entryVMs, c.rate)
			if c.prepare != nil {
				c.prepare(f)
			}
			f.run(5*time.Second, 0)
			demand := 3 * float64(len(f.upstreams)) * c.rate
			f.run(6*time.Second, demand)
			f.requests, f.served, f.refused = 0, 0, 0
			const seconds = 20
			for second := range seconds {
				if c.during != nil {
					c.during(f, second)
				}
				load := 1.0
				if c.load != nil {
					load = c.load(second)
				}
				f.run(time.Second, load*demand)
			}
			f.check(t)
			if got, want := float64(f.served), 0.5*min(float64(f.requests), float64(len(f.upstreams))*c.rate*seconds); got < want {
				t.Errorf("served %.0f of %d requests, want %.0f at least, half of the limits", got, f.requests, want)
			}
			if unanswered := f.requests - f.served - f.refused; unanswered > int(demand*limitService.Seconds())+10 {
				t.Errorf("%d of %d requests wait, want those refused that do not fit", unanswered, f.requests)
			}
		})
	}
}
