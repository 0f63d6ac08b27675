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

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	simShards           = 5
	simReplicas         = 3
	simRetryBudgetRatio = 0.2
	simRetryBudgetExtra = 10
)

// simulation is a router with simulated callers, upstreams and entry VMs, whose
// events come in any order.
type simulation struct {
	t               *rapid.T
	router          proxy.Router
	now             time.Time
	documentVersion uint64
	listChecksum    uint64
	upstreams       map[model.UpstreamID]*simUpstream
	attempts        map[model.AttemptID]*simAttempt
	requests        map[model.RequestID]*simRequest
	timers          map[event.TimerID]time.Time
	firstArrivals   map[string]int // first attempts that reached an upstream, by service
	extraArrivals   map[string]int // further attempts of the same requests
	lastID          model.RequestID
	checks          []model.UpstreamID // upstreams to which a connection is being opened
}

type simUpstream struct {
	spec     model.Upstream
	draining bool // as the last list stated
}

type simAttempt struct {
	forward    effect.Forward
	service    string
	ran        bool
	connFailed bool
	delegated  bool  // a portion that was sent to another VM
	handedOver bool  // a whole request that was sent to another VM
	reported   []int // shards of the portion that were answered or failed
}

type simRequest struct {
	path            string
	arrived         time.Time
	documentVersion uint64
	attempts        []*simAttempt
	runs            map[string]int // by service
	ends            int
	disconnected    bool
	refusedAsNotRun bool            // the refusal stated that the request never runs
	portion         *model.Portion  // received from another VM; nil for a caller's request
	handover        *model.Handover // the same for a request that another VM handed over
	reported        []int           // shards whose result the other VM has
	answered        bool            // the other VM has at least one answer
}

func simService(version uint64, n int) string { return fmt.Sprintf("set%d-%d", version%2, n) }

// simDocument returns a document whose routes have one name. Even and odd versions have
// different shards.
func simDocument(version uint64) *model.Document {
	d := &model.Document{Version: version, Services: []model.Service{{Name: "single", MaxConns: 60}}}
	all := model.Route{
		Name: "r", Host: "a.example", PathPrefix: "/all/", MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
		TopK: 4, MinCoverage: 0.6,
	}
	for n := range simShards {
		all.Shards = append(all.Shards, simService(version, n))
		d.Services = append(d.Services, model.Service{Name: simService(version, n), MaxConns: 60})
	}
	one := model.Route{
		Name: "r", Host: "a.example", PathPrefix: "/one/", MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
		Targets: []model.Target{{Service: "single", Weight: 1}},
	}
	once := one
	once.PathPrefix, once.AtMostOnce = "/once/", true
	d.Routes = []model.Route{all, one, once}
	return d
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, now: startTime, upstreams: make(map[model.UpstreamID]*simUpstream), attempts: make(map[model.AttemptID]*simAttempt),
		requests: make(map[model.RequestID]*simRequest), timers: make(map[event.TimerID]time.Time),
		firstArrivals: make(map[string]int), extraArrivals: make(map[string]int),
	}
	for v := range uint64(2) {
		for n := range simShards {
			s.addUpstreams(simService(v, n))
		}
	}
	s.addUpstreams("single")
	s.apply(s.router.Start(s.now, event.Start{
		VM: model.VM{ID: "vm0", Zone: "a"}, MinShardsToDelegate: simShards, RetryBudgetRatio: simRetryBudgetRatio,
		RetryBudgetExtra: simRetryBudgetExtra, Seed: rapid.Uint64().Draw(t, "seed"),
	}, nil))
	s.updateDocument()
	s.updateUpstreams()
	s.updateEntryVMs()
	return s
}

// updateEntryVMs sends the router a list of this entry VM and a random number of
// others.
func (s *simulation) updateEntryVMs() {
	list := []model.EntryVM{{ID: "vm0", Zone: "a", PortionAddr: netip.MustParseAddrPort("10.1.0.1:1")}}
	for n := range rapid.IntRange(0, 4).Draw(s.t, "entry VMs") {
		list = append(list, model.EntryVM{
			ID: model.VMID(fmt.Sprintf("vm%d", n+1)), Zone: model.Zone(rune('a' + n%3)), PortionAddr: netip.MustParseAddrPort("10.1.0.2:1"),
		})
	}
	s.apply(s.router.HandleEntryVMs(s.now, event.EntryVMs{VMs: list}, nil))
}

func (s *simulation) addUpstreams(service string) {
	for n := range simReplicas {
		id := model.UpstreamID(fmt.Sprintf("%s/%d", service, n))
		s.upstreams[id] = &simUpstream{spec: model.Upstream{
			ID: id, Index: service, Slots: 3, Zone: model.Zone(rune('a' + n)),
			Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+len(s.upstreams))),
		}}
	}
}

func (s *simulation) updateDocument() {
	s.documentVersion++
	s.apply(s.router.HandleView(s.now, event.View{Topology: &model.Topology{Document: simDocument(s.documentVersion)}}, nil))
}

// updateUpstreams sends the router the list of upstreams.
func (s *simulation) updateUpstreams() {
	var list []model.Upstream
	for _, u := range s.upstreams {
		list = append(list, u.spec)
		u.draining = u.spec.State == model.StateDraining
	}
	slices.SortFunc(list, func(a, b model.Upstream) int { return int(a.Addr.Port()) - int(b.Addr.Port()) })
	s.listChecksum++
	s.apply(s.router.HandleUpstreamList(s.now, event.UpstreamList{Upstreams: list, Checksum: s.listChecksum, ReadAt: s.now, EntryVMCount: 1}, nil))
}

func (s *simulation) request(path string) { s.receive(path, nil, nil) }

// receive passes a request to the router: a caller's, a portion of another VM's, or
// one that another VM hands over.
func (s *simulation) receive(path string, portion *model.Portion, handover *model.Handover) {
	s.lastID++
	s.requests[s.lastID] = &simRequest{path: path, arrived: s.now, documentVersion: s.documentVersion, runs: make(map[string]int), portion: portion, handover: handover}
	s.apply(s.router.HandleProxyRequest(s.now, event.ProxyRequest{
		ID: s.lastID, Host: "a.example:80", Path: path + "x", Fingerprint: model.Fingerprint(s.lastID), Wait: 500 * time.Millisecond, Portion: portion, Handover: handover,
	}, nil))
}

// apply checks the effects and records what they change.
func (s *simulation) apply(out []effect.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case effect.SetTimer:
			s.timers[e.ID] = e.At
		case effect.StopTimer:
			delete(s.timers, e.ID)
		case effect.Forward:
			s.checkForward(e)
		case effect.OpenConn:
			s.checks = append(s.checks, e.Upstream)
		case effect.SendResponse:
			s.recordEnd(e.Request)
		case effect.SendMergedResponse:
			s.recordEnd(e.Request)
			s.checkMerged(e)
		case effect.SendPortionResult:
			s.checkPortionResult(e)
		case effect.Refuse:
			req := s.recordEnd(e.Refusal.Request)
			req.refusedAsNotRun = e.Refusal.Ran == model.RanNo
			if req.refusedAsNotRun {
				s.checkNeverRan(req, "it was refused as not run")
			}
		}
	}
}

// checkForward checks and records an attempt on an upstream.
func (s *simulation) checkForward(e effect.Forward) {
	req := s.requests[e.Request]
	if e.Portion != nil {
		s.checkDelegation(e, req)
		return
	}
	if e.Handover != nil {
		s.checkHandover(e, req)
		return
	}
	u := s.upstreams[e.Upstream]
	a := &simAttempt{forward: e, service: u.spec.Index}
	switch {
	case req.ends > 0 || req.disconnected:
		s.t.Fatalf("request %d is sent to %s after its end", e.Request, e.Upstream)
	case u.draining:
		s.t.Fatalf("request %d is sent to %s, which is draining", e.Request, e.Upstream)
	case req.arrived.Add(500 * time.Millisecond).Before(s.now.Add(e.Timeout)):
		s.t.Fatalf("request %d may take %v at %v after its arrival, the caller waits 500ms", e.Request, e.Timeout, s.now.Sub(req.arrived))
	}
	sent := 0
	for _, other := range req.attempts {
		if other.service == a.service {
			sent++
		}
	}
	if req.path == "/once/" && sent > 0 && req.runs[a.service] > 0 {
		s.t.Fatalf("request %d may run once and is sent again after it ran", e.Request)
	}
	req.attempts = append(req.attempts, a)
	s.attempts[e.Attempt] = a
}

// checkDelegation checks and records a portion sent to another VM.
func (s *simulation) checkDelegation(e effect.Forward, req *simRequest) {
	switch {
	case req.ends > 0 || req.disconnected || req.portion != nil || req.path != "/all/":
		s.t.Fatalf("a portion of request %d to %s is sent to another VM", e.Request, req.path)
	case e.Portion.DocumentVersion != req.documentVersion:
		s.t.Fatalf("a portion of request %d is of version %d, want %d", e.Request, e.Portion.DocumentVersion, req.documentVersion)
	case req.arrived.Add(500 * time.Millisecond).Before(s.now.Add(e.Timeout)):
		s.t.Fatalf("a portion of request %d may take %v", e.Request, e.Timeout)
	}
	s.attempts[e.Attempt] = &simAttempt{forward: e, delegated: true}
}

// checkHandover checks and records a request handed over to another VM.
func (s *simulation) checkHandover(e effect.Forward, req *simRequest) {
	switch {
	case req.ends > 0 || req.disconnected || req.portion != nil || req.handover != nil:
		s.t.Fatalf("request %d to %s is handed over", e.Request, req.path)
	case e.Handover.DocumentVersion != req.documentVersion:
		s.t.Fatalf("request %d is handed over with version %d, want %d", e.Request, e.Handover.DocumentVersion, req.documentVersion)
	case req.arrived.Add(500 * time.Millisecond).Before(s.now.Add(e.Timeout)):
		s.t.Fatalf("request %d may take %v at another VM", e.Request, e.Timeout)
	case req.path == "/once/" && len(req.runs) > 0:
		s.t.Fatalf("request %d may run once and is handed over after it ran", e.Request)
	}
	made := make(map[string]int)
	for _, a := range req.attempts {
		if !a.connFailed {
			made[a.service]++
		}
	}
	for service, n := range made {
		if n+e.Handover.MaxAttempts > 2 {
			s.t.Fatalf("request %d has %d attempts on %s and may have %d more, want 2 at most", e.Request, n, service, e.Handover.MaxAttempts)
		}
	}
	s.attempts[e.Attempt] = &simAttempt{forward: e, handedOver: true}
}

// answerHandover lets another VM serve a request, refuse it, or break the connection.
func (s *simulation) answerHandover(id model.AttemptID, a *simAttempt, outcome int) {
	req := s.requests[a.forward.Request]
	delete(s.attempts, id)
	run := func() {
		services := []string{"single"}
		if req.path == "/all/" {
			services = nil
			for n := range simShards {
				services = append(services, simService(req.documentVersion, n))
			}
		}
		for _, service := range services {
			sub := &simAttempt{forward: a.forward, service: service}
			req.attempts = append(req.attempts, sub)
			s.recordArrival(sub)
			if req.runs[service]++; req.path == "/once/" && (req.runs[service] > 1 || req.refusedAsNotRun) {
				s.t.Fatalf("request %d ran %d times, refused as not run: %v", a.forward.Request, req.runs[service], req.refusedAsNotRun)
			}
		}
	}
	result := event.HandoverResult{Attempt: id}
	switch outcome {
	case 0, 1, 2:
		run()
		result.Response = model.Response{Status: 200, Body: []byte("body")}
	case 3:
		result.Refusal = &model.Refusal{Reason: model.RefusedUnreachable, Ran: model.RanNo}
	case 4:
		run()
		result.Refusal = &model.Refusal{Reason: model.RefusedFailed, Ran: model.RanUnknown}
	case 5:
		result.Refusal = &model.Refusal{Reason: model.RefusedExhausted, Ran: model.RanNo, RetryAfter: time.Second}
	case 6:
		s.apply(s.router.HandleAttemptFailed(s.now, event.AttemptFailed{Attempt: id, Reason: model.FailedRefused, Ran: model.RanNo}, nil))
		return
	default:
		run()
		s.apply(s.router.HandleAttemptFailed(s.now, event.AttemptFailed{Attempt: id, Reason: model.FailedReset, Ran: model.RanUnknown}, nil))
		return
	}
	s.apply(s.router.HandleHandoverResult(s.now, result, nil))
}

// endChecks ends the connection checks that are under way.
func (s *simulation) endChecks(opened bool) {
	checks := s.checks
	s.checks = nil
	for _, id := range checks {
		s.apply(s.router.HandleConnChecked(s.now, event.ConnChecked{Upstream: id, Opened: opened}, nil))
	}
}

// checkPortionResult checks a frame of the answer to another VM.
func (s *simulation) checkPortionResult(e effect.SendPortionResult) {
	req := s.requests[e.Request]
	if req.portion == nil || req.ends > 0 {
		s.t.Fatalf("request %d is answered with shard results %+v", e.Request, e.Results)
	}
	answers := 0
	for _, result := range e.Results {
		s.checkShardResult(e, req, result)
		if result.Receipt != "" {
			answers++
		}
	}
	if answers > 1 && req.answered {
		s.t.Fatalf("a later frame of request %d has %d answers, of which the other VM may have some", e.Request, answers)
	}
	req.answered = req.answered || answers > 0
	if e.More {
		return
	}
	s.recordEnd(e.Request)
	slices.Sort(req.reported)
	if !slices.Equal(req.reported, req.portion.Shards) {
		s.t.Fatalf("request %d got shards %v, want portion %+v", e.Request, req.reported, req.portion)
	}
	for _, a := range req.attempts {
		if n := len(slices.DeleteFunc(slices.Clone(req.attempts), func(other *simAttempt) bool {
			return other.service != a.service || other.connFailed
		})); n > 1 {
			s.t.Fatalf("request %d has %d attempts on %s for another VM", e.Request, n, a.service)
		}
	}
}

// checkShardResult checks the result of one shard in a frame.
func (s *simulation) checkShardResult(e effect.SendPortionResult, req *simRequest, result model.ShardResult) {
	if result.Pending {
		if result.Receipt != "" || result.Upstream == "" || !e.More {
			s.t.Fatalf("pending result %+v of request %d", result, e.Request)
		}
		return
	}
	if slices.Contains(req.reported, result.Shard) {
		s.t.Fatalf("shard %d of request %d is reported twice", result.Shard, e.Request)
	}
	req.reported = append(req.reported, result.Shard)
	if want := fmt.Sprintf("%d@%s", e.Request, simService(req.documentVersion, result.Shard)); result.Receipt != "" && result.Receipt != want {
		s.t.Fatalf("shard %d has receipt %s, want %s", result.Shard, result.Receipt, want)
	}
	if result.Upstream == "" && req.runs[simService(req.documentVersion, result.Shard)] > 0 {
		s.t.Fatalf("shard %d ran and is reported as not tried", result.Shard)
	}
}

// answerPortion lets another VM send a frame of its answer to a portion, refuse
// the portion, or break the connection.
func (s *simulation) answerPortion(id model.AttemptID, a *simAttempt, outcome int) {
	req := s.requests[a.forward.Request]
	switch {
	case outcome == 3 && len(a.reported) == 0:
		delete(s.attempts, id)
		s.apply(s.router.HandleAttemptFailed(s.now, event.AttemptFailed{Attempt: id, Reason: model.FailedShed, Ran: model.RanNo}, nil))
		return
	case outcome == 4:
		delete(s.attempts, id)
		s.apply(s.router.HandleAttemptFailed(s.now, event.AttemptFailed{Attempt: id, Reason: model.FailedReset, Ran: model.RanUnknown}, nil))
		return
	}
	frame := event.PortionResult{Attempt: id, More: true}
	for _, shard := range a.forward.Portion.Shards {
		if slices.Contains(a.reported, shard) || len(a.reported) > 0 && len(frame.Results) > 0 || rapid.Bool().Draw(s.t, "later") {
			continue
		}
		result := model.ShardResult{Shard: shard}
		if kind := rapid.IntRange(0, 5).Draw(s.t, "result"); kind > 0 {
			result.Upstream = model.UpstreamID(simService(req.documentVersion, shard) + "/1")
			sub := &simAttempt{forward: a.forward, service: simService(req.documentVersion, shard)}
			req.attempts = append(req.attempts, sub)
			s.recordArrival(sub)
			req.runs[sub.service]++
			if kind > 1 {
				result.Receipt = fmt.Sprintf("%d@%s", a.forward.Request, simService(req.documentVersion, shard))
				frame.Records = append(frame.Records, fmt.Sprintf("%016d", id)...)
			}
		}
		frame.Results = append(frame.Results, result)
	}
	for _, result := range frame.Results {
		a.reported = append(a.reported, result.Shard)
	}
	if len(a.reported) == len(a.forward.Portion.Shards) {
		delete(s.attempts, id)
		frame.More = false
	}
	s.apply(s.router.HandlePortionResult(s.now, frame, nil))
}

// recordArrival counts an attempt that reached its upstream.
func (s *simulation) recordArrival(a *simAttempt) {
	req := s.requests[a.forward.Request]
	n := 0
	for _, other := range req.attempts {
		if other.service == a.service && other != a && other.ran {
			n++
		}
	}
	a.ran = true
	if n == 0 {
		s.firstArrivals[a.service]++
		return
	}
	s.extraArrivals[a.service]++
	if limit := simRetryBudgetRatio*float64(s.firstArrivals[a.service]) + simRetryBudgetExtra; float64(s.extraArrivals[a.service]) > limit {
		s.t.Fatalf("%s got %d extra arrivals, limit %v", a.service, s.extraArrivals[a.service], limit)
	}
	if n >= 2 {
		s.t.Fatalf("%s got request %d %d times, want at most 2", a.service, a.forward.Request, n+1)
	}
}

// recordEnd records the answer or refusal of a request.
func (s *simulation) recordEnd(id model.RequestID) *simRequest {
	req := s.requests[id]
	if req.ends++; req.ends > 1 || req.disconnected {
		s.t.Fatalf("request %d ends again", id)
	}
	return req
}

// checkNeverRan checks that a request which may run at most once ran nowhere.
func (s *simulation) checkNeverRan(req *simRequest, why string) {
	for service, n := range req.runs {
		if n > 0 && req.path == "/once/" {
			s.t.Fatalf("%s ran %d times, but %s", service, n, why)
		}
	}
}

// checkMerged checks that a merged response has each shard of one document at
// most once and states how many are missing.
func (s *simulation) checkMerged(e effect.SendMergedResponse) {
	req := s.requests[e.Request]
	seen := make(map[string]bool)
	for _, receipt := range e.Response.Receipts {
		if seen[receipt] {
			s.t.Fatalf("receipt %s appears twice", receipt)
		}
		seen[receipt] = true
		ok := false
		for n := range simShards {
			ok = ok || receipt == fmt.Sprintf("%d@%s", e.Request, simService(req.documentVersion, n))
		}
		if !ok {
			s.t.Fatalf("receipt %s does not belong to request %d over the shards of version %d", receipt, e.Request, req.documentVersion)
		}
	}
	if got := len(seen) + e.Response.MissingShards; got != simShards {
		s.t.Fatalf("got %d answered and missing shards, want %d", got, simShards)
	}
	if float64(len(seen)) < 0.6*simShards {
		s.t.Fatalf("got %d answered shards, want at least 3", len(seen))
	}
	if n := len(e.Response.Records); n > 4*16 || n%16 != 0 {
		s.t.Fatalf("got %d bytes of records", n)
	}
}

// endAttempt ends a random attempt in flight with one of nine outcomes.
func (s *simulation) endAttempt(outcome int) {
	ids := make([]model.AttemptID, 0, len(s.attempts))
	for id := range s.attempts {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(s.t, "attempt")]
	a := s.attempts[id]
	if a.delegated {
		s.answerPortion(id, a, outcome)
		return
	}
	if a.handedOver {
		s.answerHandover(id, a, outcome)
		return
	}
	delete(s.attempts, id)
	req := s.requests[a.forward.Request]
	ran := func() {
		s.recordArrival(a)
		req.runs[a.service]++
		if req.path == "/once/" && (req.runs[a.service] > 1 || req.refusedAsNotRun) {
			s.t.Fatalf("request %d ran %d times, refused as not run: %v", a.forward.Request, req.runs[a.service], req.refusedAsNotRun)
		}
	}
	response := model.Response{Status: 200, Body: []byte(fmt.Sprintf("%016d%016dshort", id, id*7))}
	received := event.ResponseReceived{Attempt: id, Response: response, Receipt: fmt.Sprintf("%d@%s", a.forward.Request, a.service)}
	switch outcome {
	case 0, 1, 2: // success
		ran()
		s.apply(s.router.HandleResponseReceived(s.now, received, nil))
	case 3: // shed by the upstream
		s.recordArrival(a)
		received.Response.Status, received.NotRun, received.Receipt = 503, true, ""
		s.apply(s.router.HandleResponseReceived(s.now, received, nil))
	case 4: // error response
		ran()
		received.Response.Status = 500
		s.apply(s.router.HandleResponseReceived(s.now, received, nil))
	case 5: // answered by another upstream
		s.recordArrival(a)
		received.WrongUpstream, received.Receipt = true, ""
		s.apply(s.router.HandleResponseReceived(s.now, received, nil))
	case 6: // response without a receipt
		ran()
		received.Receipt = ""
		s.apply(s.router.HandleResponseReceived(s.now, received, nil))
	case 7: // failed connection
		a.connFailed = true
		s.apply(s.router.HandleAttemptFailed(s.now, event.AttemptFailed{Attempt: id, Reason: model.FailedRefused, Ran: model.RanNo}, nil))
	default: // connection reset
		if rapid.Bool().Draw(s.t, "ran") {
			ran()
		} else {
			s.recordArrival(a)
		}
		s.apply(s.router.HandleAttemptFailed(s.now, event.AttemptFailed{Attempt: id, Reason: model.FailedReset, Ran: model.RanUnknown}, nil))
	}
}

// advance moves the clock and fires the timers that are due.
func (s *simulation) advance(d time.Duration) {
	end := s.now.Add(d)
	for {
		var next event.TimerID
		var due time.Time
		for id, at := range s.timers {
			if !at.After(end) && (due.IsZero() || at.Before(due) || at.Equal(due) && id.N < next.N) {
				next, due = id, at
			}
		}
		if due.IsZero() {
			break
		}
		delete(s.timers, next)
		if due.After(s.now) {
			s.now = due
		}
		s.apply(s.router.HandleTimer(s.now, next, nil))
	}
	s.now = end
}
