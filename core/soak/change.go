package soak

import (
	"time"
)

// kind says why a document is sent.
type kind int

const (
	kindNext    kind = iota // a change
	kindAgain               // an earlier change once more
	kindOther               // other content under a version that is held
	kindInvalid             // it cannot be put in force
)

// How orders are drawn.
const (
	raceOdds    = 5    // one change in so many is sent together with another one
	orderOdds   = 10   // one order in so many is of each kind that changes nothing
	versionStep = 3    // versions rise by at most this
	farVersion  = 1000 // by which an invalid document is ahead, so that it would stay in force
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
	if draw := s.random.IntN(orderOdds); newest >= 0 && kind(draw) < kindInvalid {
		o.kind = kind(draw + 1)
	}
	if o.kind == kindNext {
		o.change = s.changes
		s.changes++
		s.version += 1 + s.random.Uint64N(versionStep)
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
		d.Version += farVersion
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
