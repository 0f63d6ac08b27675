package soak

import (
	"fmt"
	"time"

	"comfreypulley/core/model"
)

// Names in the documents.
const (
	Domain     = "soak.example" // of callers' requests
	plain      = "plain"        // service of Fetch, Write and Added
	movers     = 32             // services of Move in turn, so that a run tells which change it followed
	keptRoutes = 3              // changes during which an Added route stands
	setEvery   = 3              // changes between two sets of shards
	records    = 10             // of a merged answer
	coverage   = 0.5            // least share of the shards
	timeout    = 900 * time.Millisecond
	hostConns  = 64
	plainHosts = 5
)

// Services returns the services of the documents and the upstreams of each.
func Services() []Host {
	var hosts []Host
	add := func(service string, n int) {
		for range n {
			hosts = append(hosts, Host{Service: service})
		}
	}
	for _, set := range shardSets() {
		for _, shard := range set {
			add(shard, 2)
		}
	}
	add(plain, plainHosts)
	for n := range movers {
		add(mover(n), 1)
	}
	return hosts
}

// shardSets are the sets of shards that documents change between.
func shardSets() [2][]string {
	return [2][]string{{"a0", "a1", "a2"}, {"b0", "b1", "b2", "b3"}}
}

func mover(change int) string { return fmt.Sprintf("m%d", change%movers) }

// prefix returns the path prefix of a class.
func prefix(c Class, change int) string {
	switch c {
	case Sweep:
		return "/sweep/"
	case Fetch:
		return "/fetch/"
	case Write:
		return "/write/"
	case Move:
		return "/move/"
	default:
		return fmt.Sprintf("/added/%d/", change)
	}
}

// Path returns the path of a request.
func Path(c Class, change int, tag string) string { return prefix(c, change) + tag }

// document returns the document of a change.
func document(change int, version uint64) *model.Document {
	d := &model.Document{
		Version: version,
		Limits:  model.Limits{Header: 16384, Body: 262144, Reading: 3 * time.Second, Idle: 15 * time.Second},
	}
	known := make(map[string]bool)
	for _, h := range Services() {
		if !known[h.Service] {
			known[h.Service] = true
			d.Services = append(d.Services, model.Service{Name: h.Service, Health: "/health", Conns: hostConns})
		}
	}
	add := func(c Class, n int, edit func(r *model.Route)) {
		r := model.Route{
			Name: fmt.Sprintf("r%d-%d", c, n), Host: Domain, Prefix: prefix(c, n), Attempts: Attempts,
			Timeout: timeout, Objective: 100 * time.Millisecond, Rank: int(c),
		}
		edit(&r)
		d.Routes = append(d.Routes, r)
	}
	to := func(service string) func(r *model.Route) {
		return func(r *model.Route) { r.Targets = []model.Target{{Service: service, Weight: 1}} }
	}
	add(Sweep, 0, func(r *model.Route) {
		r.Shards, r.Records, r.Coverage = shardSets()[change/setEvery%2], records, coverage
	})
	add(Fetch, 0, to(plain))
	add(Write, 0, func(r *model.Route) { to(plain)(r); r.Once = true })
	add(Move, 0, to(mover(change)))
	for n := max(0, change-keptRoutes+1); n <= change; n++ {
		add(Added, n, to(plain))
	}
	return d
}

// kind says why a document is sent.
type kind int

const (
	kindNext    kind = iota // a change
	kindAgain               // an earlier change once more
	kindOther               // other content under a version that is held
	kindInvalid             // it cannot be put in force
)

// order is a document that was sent to the operators' interface.
type order struct {
	kind    kind
	change  int
	version uint64
	sent    time.Time
	acked   time.Time // zero before
}

// change sends the next document, or one that must change nothing.
func (s *State) change() {
	o := order{kind: kindNext, sent: s.now}
	newest := s.newestAcked(s.now)
	if draw := s.random.IntN(10); newest >= 0 && draw < 3 {
		o.kind = kind(draw + 1)
	}
	if o.kind == kindNext {
		o.change = s.changes
		s.changes++
		s.version += 1 + s.random.Uint64N(3)
		o.version = s.version
		s.sentAt = append(s.sentAt, s.now)
		s.ackedAt = append(s.ackedAt, time.Time{})
	} else {
		held := s.orders[s.nextOrders[newest]]
		o.change, o.version = held.change, held.version
	}
	d := document(o.change, o.version)
	switch o.kind {
	case kindNext, kindAgain:
	case kindOther:
		d.Routes[1].Timeout += time.Millisecond
	case kindInvalid:
		d.Version += 1000
		d.Routes[1].Targets[0].Service = "missing"
	}
	number := len(s.orders)
	s.orders = append(s.orders, o)
	if o.kind == kindNext {
		s.nextOrders = append(s.nextOrders, number)
	}
	s.emit(Order{Number: number, Document: d, Newest: newest})
	s.note("order %d: change %d, version %d, kind %d", number, o.change, d.Version, o.kind)
}

// newestAcked returns the newest change that was acknowledged before a time,
// below 0 when there is none.
func (s *State) newestAcked(before time.Time) int {
	for n := len(s.ackedAt) - 1; n >= 0; n-- {
		if !s.ackedAt[n].IsZero() && s.ackedAt[n].Before(before) {
			return n
		}
	}
	return -1
}

// ordered judges the answer to a document.
func (s *State) ordered(e Ordered) {
	o := &s.orders[e.Order]
	valid := o.kind != kindInvalid
	switch {
	case e.Status == 200 && !valid:
		s.find("CONFIG", "order %d is invalid and was acknowledged", e.Order)
	case e.Status == 200:
		s.note("order %d acknowledged", e.Order)
		o.acked = s.now
		if o.kind == kindNext {
			s.ackedAt[o.change] = s.now
			s.report.Changes++
		}
	case valid:
		s.find("CONFIG", "order %d is valid and was refused with status %d", e.Order, e.Status)
	}
}

// read judges a document that was read back.
func (s *State) read(e Read) {
	number := e.Order
	s.report.Reads++
	if number < 0 || number >= len(s.orders) {
		s.find("CONFIG", "vm %d returns a document that nobody sent", e.VM)
		return
	}
	o := &s.orders[number]
	if o.kind == kindOther || o.kind == kindInvalid {
		s.find("CONFIG", "vm %d returns order %d, which must not be in force", e.VM, number)
		return
	}
	if n := s.newestAcked(e.At.Add(-applyWithin)); n > o.change {
		s.find("CONFIG", "vm %d returns change %d, asked %v after change %d was acknowledged", e.VM, o.change, e.At.Sub(s.ackedAt[n]), n)
	}
	s.lastRead, s.lastReadAt = o.change, s.now
}

// follows judges the change that a run followed.
func (s *State) follows(q *request, r *Run) {
	switch q.Class {
	case Move:
		s.followsMove(q, r)
	case Added:
		if n := q.Change + keptRoutes; n < len(s.ackedAt) && s.overdue(n, q) {
			s.find("CONFIG", "request %s ran on a route that change %d dropped", q.Tag, n)
		}
	default:
	}
}

func (s *State) followsMove(q *request, r *Run) {
	followed := -1
	for n := len(s.sentAt) - 1; n >= 0; n-- {
		if mover(n) == r.Service {
			followed = n
			break
		}
	}
	if followed < 0 {
		return // a finding of its own
	}
	s.report.Judged["CONFIG followed"]++
	if n := s.newestAcked(q.At.Add(-applyWithin)); n > followed && s.overdue(n, q) {
		s.find("CONFIG", "request %s followed change %d, sent %v after change %d was acknowledged", q.Tag, followed, q.At.Sub(s.ackedAt[n]), n)
	}
	vm := &s.vms[q.Entry]
	if seen := vm.seen; seen > followed && q.At.After(vm.seenAt.Add(rollbackSlack)) && q.At.After(vm.began) {
		s.find("CONFIG", "vm %d went back from change %d to %d with request %s", q.Entry, seen, followed, q.Tag)
	}
	if followed > vm.seen && q.At.After(vm.began) {
		vm.seen, vm.seenAt = followed, s.now
	}
}

// overdue reports whether a request was sent so late after the acknowledgement
// of a change that a calm VM must have obeyed it.
func (s *State) overdue(change int, q *request) bool {
	acked := s.ackedAt[change]
	return !acked.IsZero() && q.At.After(acked.Add(applyWithin)) && s.inTouch(q.Entry, q.At)
}

// due reports whether an Added request must find its route.
func (s *State) due(q *request) bool {
	next := q.Change + keptRoutes
	return q.Change < len(s.ackedAt) && s.overdue(q.Change, q) && next >= len(s.sentAt)
}
