package proxy_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/proxy"
)

var began = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	shards   = 5
	replicas = 3
	ratio    = 0.2
	extra    = 10
)

// world is a table with callers and upstreams whose events come in any order.
type world struct {
	t       *rapid.T
	table   proxy.Table
	now     time.Time
	version uint64
	stamp   uint64
	hosts   map[model.UpstreamID]*fakeHost
	flights map[model.AttemptID]*flight
	callers map[model.RequestID]*caller
	timers  map[event.TimerID]time.Time
	first   map[string]int // first arrivals by service
	again   map[string]int // arrivals beyond them
	next    model.RequestID
}

type fakeHost struct {
	upstream model.Upstream
	drained  bool // as the table was told
}

type flight struct {
	forward effect.Forward
	service string
	ran     bool
	refused bool  // no connection was made
	portion bool  // at another VM
	told    []int // shards of it that were told
}

type caller struct {
	path     string
	arrived  time.Time
	version  uint64
	flights  []*flight
	runs     map[string]int // by service
	finals   int
	gone     bool
	statedNo bool           // the refusal said that it did not run
	portion  *model.Portion // of another VM's request
	told     []int          // shards that the other VM was told of
	answers  bool           // it has some answers
}

func service(version uint64, n int) string { return fmt.Sprintf("set%d-%d", version%2, n) }

// document names one of two sets of shards, by the parity of its version.
func document(version uint64) *model.Document {
	d := &model.Document{Version: version, Services: []model.Service{{Name: "single", MaxConns: 60}}}
	all := model.Route{
		Name: "all", Host: "a.example", PathPrefix: "/all/", MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
		TopK: 4, MinCoverage: 0.6,
	}
	for n := range shards {
		all.Shards = append(all.Shards, service(version, n))
		d.Services = append(d.Services, model.Service{Name: service(version, n), MaxConns: 60})
	}
	one := model.Route{
		Name: "one", Host: "a.example", PathPrefix: "/one/", MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
		Targets: []model.Target{{Service: "single", Weight: 1}},
	}
	once := one
	once.Name, once.PathPrefix, once.AtMostOnce = "once", "/once/", true
	d.Routes = []model.Route{all, one, once}
	return d
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: began, hosts: make(map[model.UpstreamID]*fakeHost), flights: make(map[model.AttemptID]*flight),
		callers: make(map[model.RequestID]*caller), timers: make(map[event.TimerID]time.Time),
		first: make(map[string]int), again: make(map[string]int),
	}
	for v := range uint64(2) {
		for n := range shards {
			w.addHosts(service(v, n))
		}
	}
	w.addHosts("single")
	w.do(w.table.Start(w.now, event.Start{VM: model.VM{ID: "vm0", Zone: "a"}, MinShardsToDelegate: shards, RetryBudgetRatio: ratio, RetryBudgetExtra: extra, Seed: rapid.Uint64().Draw(t, "seed")}, nil))
	w.view()
	w.roster()
	w.daemons()
	return w
}

// daemons tells the table some other entry VMs, and this one.
func (w *world) daemons() {
	list := []model.EntryVM{{ID: "vm0", Zone: "a", PortionAddr: netip.MustParseAddrPort("10.1.0.1:1")}}
	for n := range rapid.IntRange(0, 4).Draw(w.t, "daemons") {
		list = append(list, model.EntryVM{
			ID: model.VMID(fmt.Sprintf("vm%d", n+1)), Zone: model.Zone(rune('a' + n%3)), PortionAddr: netip.MustParseAddrPort("10.1.0.2:1"),
		})
	}
	w.do(w.table.Daemons(w.now, event.EntryVMs{VMs: list}, nil))
}

func (w *world) addHosts(service string) {
	for n := range replicas {
		id := model.UpstreamID(fmt.Sprintf("%s/%d", service, n))
		w.hosts[id] = &fakeHost{upstream: model.Upstream{
			ID: id, Index: service, Slots: 3, Zone: model.Zone(rune('a' + n)),
			Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+len(w.hosts))),
		}}
	}
}

func (w *world) view() {
	w.version++
	w.do(w.table.View(w.now, event.View{Topology: &model.Topology{Document: document(w.version)}}, nil))
}

// roster tells the table the upstreams there are.
func (w *world) roster() {
	var list []model.Upstream
	for _, h := range w.hosts {
		list = append(list, h.upstream)
		h.drained = h.upstream.State == model.StateDraining
	}
	slices.SortFunc(list, func(a, b model.Upstream) int { return int(a.Addr.Port()) - int(b.Addr.Port()) })
	w.stamp++
	w.do(w.table.Roster(w.now, event.UpstreamList{Upstreams: list, Checksum: w.stamp, ReadAt: w.now, EntryVMCount: 1}, nil))
}

func (w *world) call(path string) { w.callPortion(path, nil) }

func (w *world) callPortion(path string, p *model.Portion) {
	w.next++
	w.callers[w.next] = &caller{path: path, arrived: w.now, version: w.version, runs: make(map[string]int), portion: p}
	w.do(w.table.Call(w.now, event.ProxyRequest{
		ID: w.next, Host: "a.example:80", Path: path + "x", Fingerprint: model.Fingerprint(w.next), Wait: 500 * time.Millisecond, Portion: p,
	}, nil))
}

// do checks and carries out effects.
func (w *world) do(out []effect.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case effect.SetTimer:
			w.timers[e.ID] = e.At
		case effect.StopTimer:
			delete(w.timers, e.ID)
		case effect.Forward:
			w.forward(e)
		case effect.SendResponse:
			w.final(e.Request)
		case effect.SendMergedResponse:
			w.final(e.Request)
			w.merged(e)
		case effect.SendPortionResult:
			w.gathered(e)
		case effect.Refuse:
			c := w.final(e.Rejection.Request)
			c.statedNo = e.Rejection.Ran == model.RanNo
			if c.statedNo {
				w.neverRan(c, "it was refused as not run")
			}
		}
	}
}

func (w *world) forward(e effect.Forward) {
	c := w.callers[e.Request]
	if e.Portion != nil {
		w.delegated(e, c)
		return
	}
	h := w.hosts[e.Upstream]
	f := &flight{forward: e, service: h.upstream.Index}
	switch {
	case c.finals > 0 || c.gone:
		w.t.Fatalf("request %d is sent to %s after its end", e.Request, e.Upstream)
	case h.drained:
		w.t.Fatalf("request %d is sent to %s, which is draining", e.Request, e.Upstream)
	case c.arrived.Add(500 * time.Millisecond).Before(w.now.Add(e.Timeout)):
		w.t.Fatalf("request %d may take %v at %v after its arrival, the caller waits 500ms", e.Request, e.Timeout, w.now.Sub(c.arrived))
	}
	sent := 0
	for _, other := range c.flights {
		if other.service == f.service {
			sent++
		}
	}
	if c.path == "/once/" && sent > 0 && c.runs[f.service] > 0 {
		w.t.Fatalf("request %d may run once and is sent again after it ran", e.Request)
	}
	c.flights = append(c.flights, f)
	w.flights[e.Attempt] = f
}

// delegated checks a portion that is given away.
func (w *world) delegated(e effect.Forward, c *caller) {
	switch {
	case c.finals > 0 || c.gone || c.portion != nil || c.path != "/all/":
		w.t.Fatalf("a portion of request %d to %s is given away", e.Request, c.path)
	case e.Portion.DocumentVersion != c.version:
		w.t.Fatalf("a portion of request %d is of version %d, want %d", e.Request, e.Portion.DocumentVersion, c.version)
	case c.arrived.Add(500 * time.Millisecond).Before(w.now.Add(e.Timeout)):
		w.t.Fatalf("a portion of request %d may take %v", e.Request, e.Timeout)
	}
	w.flights[e.Attempt] = &flight{forward: e, portion: true}
}

// gathered checks what this VM answers to another one.
func (w *world) gathered(e effect.SendPortionResult) {
	c := w.callers[e.Request]
	if c.portion == nil || c.finals > 0 {
		w.t.Fatalf("request %d is answered with pieces %+v", e.Request, e.Results)
	}
	answers := 0
	for _, p := range e.Results {
		w.piece(e, c, p)
		if p.Receipt != "" {
			answers++
		}
	}
	if answers > 1 && c.answers {
		w.t.Fatalf("a later frame of request %d has %d answers, which the other VM may have in part", e.Request, answers)
	}
	c.answers = c.answers || answers > 0
	if e.More {
		return
	}
	w.final(e.Request)
	slices.Sort(c.told)
	if !slices.Equal(c.told, c.portion.Shards) {
		w.t.Fatalf("request %d got shards %v, want portion %+v", e.Request, c.told, c.portion)
	}
	for _, f := range c.flights {
		if n := len(slices.DeleteFunc(slices.Clone(c.flights), func(o *flight) bool { return o.service != f.service || o.refused })); n > 1 {
			w.t.Fatalf("request %d has %d attempts on %s for another VM", e.Request, n, f.service)
		}
	}
}

// piece checks what another VM is told of one shard.
func (w *world) piece(e effect.SendPortionResult, c *caller, p model.ShardResult) {
	if p.Pending {
		if p.Receipt != "" || p.Upstream == "" || !e.More {
			w.t.Fatalf("open piece %+v of request %d", p, e.Request)
		}
		return
	}
	if slices.Contains(c.told, p.Shard) {
		w.t.Fatalf("shard %d of request %d is told twice", p.Shard, e.Request)
	}
	c.told = append(c.told, p.Shard)
	if want := fmt.Sprintf("%d@%s", e.Request, service(c.version, p.Shard)); p.Receipt != "" && p.Receipt != want {
		w.t.Fatalf("shard %d has receipt %s, want %s", p.Shard, p.Receipt, want)
	}
	if p.Upstream == "" && c.runs[service(c.version, p.Shard)] > 0 {
		w.t.Fatalf("shard %d ran and is stated as not tried", p.Shard)
	}
}

// endPortion lets another VM answer a portion frame by frame, refuse it or break
// off.
func (w *world) endPortion(id model.AttemptID, f *flight, outcome int) {
	c := w.callers[f.forward.Request]
	switch {
	case outcome == 3 && len(f.told) == 0:
		delete(w.flights, id)
		w.do(w.table.Failed(w.now, event.AttemptFailed{Attempt: id, Reason: model.FailedShed, Ran: model.RanNo}, nil))
		return
	case outcome == 4:
		delete(w.flights, id)
		w.do(w.table.Failed(w.now, event.AttemptFailed{Attempt: id, Reason: model.FailedReset, Ran: model.RanUnknown}, nil))
		return
	}
	g := event.PortionResult{Attempt: id, More: true}
	for _, leg := range f.forward.Portion.Shards {
		if slices.Contains(f.told, leg) || len(f.told) > 0 && len(g.Results) > 0 || rapid.Bool().Draw(w.t, "later") {
			continue
		}
		p := model.ShardResult{Shard: leg}
		if kind := rapid.IntRange(0, 5).Draw(w.t, "piece"); kind > 0 {
			p.Upstream = model.UpstreamID(service(c.version, leg) + "/1")
			sub := &flight{forward: f.forward, service: service(c.version, leg)}
			c.flights = append(c.flights, sub)
			w.arrived(sub)
			c.runs[sub.service]++
			if kind > 1 {
				p.Receipt = fmt.Sprintf("%d@%s", f.forward.Request, service(c.version, leg))
				g.Records = append(g.Records, fmt.Sprintf("%016d", id)...)
			}
		}
		g.Results = append(g.Results, p)
	}
	for _, p := range g.Results {
		f.told = append(f.told, p.Shard)
	}
	if len(f.told) == len(f.forward.Portion.Shards) {
		delete(w.flights, id)
		g.More = false
	}
	w.do(w.table.Gathered(w.now, g, nil))
}

// arrived counts an attempt that reached its upstream.
func (w *world) arrived(f *flight) {
	c := w.callers[f.forward.Request]
	n := 0
	for _, other := range c.flights {
		if other.service == f.service && other != f && other.ran {
			n++
		}
	}
	f.ran = true
	if n == 0 {
		w.first[f.service]++
		return
	}
	w.again[f.service]++
	if limit := ratio*float64(w.first[f.service]) + extra; float64(w.again[f.service]) > limit {
		w.t.Fatalf("%s got %d extra arrivals, limit %v", f.service, w.again[f.service], limit)
	}
	if n >= 2 {
		w.t.Fatalf("%s got request %d %d times, want at most 2", f.service, f.forward.Request, n+1)
	}
}

func (w *world) final(id model.RequestID) *caller {
	c := w.callers[id]
	if c.finals++; c.finals > 1 || c.gone {
		w.t.Fatalf("request %d ends again", id)
	}
	return c
}

func (w *world) neverRan(c *caller, why string) {
	for service, n := range c.runs {
		if n > 0 && c.path == "/once/" {
			w.t.Fatalf("%s ran %d times, but %s", service, n, why)
		}
	}
}

// merged checks that an answer holds parts of one document's shards, each once,
// and states what is missing.
func (w *world) merged(e effect.SendMergedResponse) {
	c := w.callers[e.Request]
	seen := make(map[string]bool)
	for _, receipt := range e.Response.Receipts {
		if seen[receipt] {
			w.t.Fatalf("receipt %s appears twice", receipt)
		}
		seen[receipt] = true
		ok := false
		for n := range shards {
			ok = ok || receipt == fmt.Sprintf("%d@%s", e.Request, service(c.version, n))
		}
		if !ok {
			w.t.Fatalf("receipt %s does not belong to request %d over the shards of version %d", receipt, e.Request, c.version)
		}
	}
	if got := len(seen) + e.Response.MissingShards; got != shards {
		w.t.Fatalf("got %d parts and missing shards, want %d", got, shards)
	}
	if float64(len(seen)) < 0.6*shards {
		w.t.Fatalf("got %d parts, want at least 3", len(seen))
	}
	if n := len(e.Response.Records); n > 4*16 || n%16 != 0 {
		w.t.Fatalf("got %d bytes of records", n)
	}
}

// end ends a random flight.
func (w *world) end(outcome int) {
	ids := make([]model.AttemptID, 0, len(w.flights))
	for id := range w.flights {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(w.t, "flight")]
	f := w.flights[id]
	if f.portion {
		w.endPortion(id, f, outcome)
		return
	}
	delete(w.flights, id)
	c := w.callers[f.forward.Request]
	ran := func() {
		w.arrived(f)
		c.runs[f.service]++
		if c.path == "/once/" && (c.runs[f.service] > 1 || c.statedNo) {
			w.t.Fatalf("request %d ran %d times, refused as not run: %v", f.forward.Request, c.runs[f.service], c.statedNo)
		}
	}
	reply := model.Response{Status: 200, Body: []byte(fmt.Sprintf("%016d%016dshort", id, id*7))}
	returned := event.ResponseReceived{Attempt: id, Response: reply, Receipt: fmt.Sprintf("%d@%s", f.forward.Request, f.service)}
	switch outcome {
	case 0, 1, 2:
		ran()
		w.do(w.table.Returned(w.now, returned, nil))
	case 3:
		w.arrived(f)
		returned.Response.Status, returned.NotRun, returned.Receipt = 503, true, ""
		w.do(w.table.Returned(w.now, returned, nil))
	case 4:
		ran()
		returned.Response.Status = 500
		w.do(w.table.Returned(w.now, returned, nil))
	case 5:
		w.arrived(f)
		returned.WrongUpstream, returned.Receipt = true, ""
		w.do(w.table.Returned(w.now, returned, nil))
	case 6:
		ran()
		returned.Receipt = ""
		w.do(w.table.Returned(w.now, returned, nil))
	case 7:
		f.refused = true
		w.do(w.table.Failed(w.now, event.AttemptFailed{Attempt: id, Reason: model.FailedRefused, Ran: model.RanNo}, nil))
	default:
		if rapid.Bool().Draw(w.t, "ran") {
			ran()
		} else {
			w.arrived(f)
		}
		w.do(w.table.Failed(w.now, event.AttemptFailed{Attempt: id, Reason: model.FailedReset, Ran: model.RanUnknown}, nil))
	}
}

// pass lets time pass and fires what is due.
func (w *world) pass(d time.Duration) {
	end := w.now.Add(d)
	for {
		var next event.TimerID
		var due time.Time
		for id, at := range w.timers {
			if !at.After(end) && (due.IsZero() || at.Before(due) || at.Equal(due) && id.N < next.N) {
				next, due = id, at
			}
		}
		if due.IsZero() {
			break
		}
		delete(w.timers, next)
		if due.After(w.now) {
			w.now = due
		}
		w.do(w.table.Timer(w.now, next, nil))
	}
	w.now = end
}
