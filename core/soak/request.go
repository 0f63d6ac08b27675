package soak

import (
	"bytes"
	"slices"
	"time"
)

const recordSize = 16 // bytes

// request is what is known of a request.
type request struct {
	Request
	runs     []*run
	left     time.Time // when its caller closed the connection
	unheard  bool      // its VM did not run when it was sent
	refused  bool
	answered bool
	status   int
}

// run is a request at an upstream.
type run struct {
	Run
	at       time.Time
	ended    time.Time // zero while it runs
	finished bool
}

// may reports whether some document lets a request run on a service.
func (s *State) may(q *request, service string) bool {
	switch q.Class {
	case Sweep:
		sets := shardSets()
		return slices.Contains(sets[0], service) || len(s.sentAt) > setEvery && slices.Contains(sets[1], service)
	case Move:
		for n := range min(len(s.sentAt), movers) {
			if mover(n) == service {
				return true
			}
		}
		return false
	default:
		return service == plain
	}
}

// arrived judges a request that reached an upstream.
func (s *State) arrived(r Run) {
	s.report.Runs++
	q := s.requests[r.Tag]
	switch {
	case q == nil:
		s.find("UNASKED", "upstream %d got request %q, which nobody sent", r.Host, r.Tag)
		return
	case q.Digest != r.Digest:
		s.find("UNASKED", "upstream %d got request %s changed", r.Host, r.Tag)
	case r.Accepted && !s.may(q, r.Service):
		s.find("ROUTE", "request %s reached service %s", r.Tag, r.Service)
	}
	if r.Wait <= 0 || r.Wait > q.Wait+goneSlack {
		s.find("BUDGET", "request %s waits %v and its upstream was told %v", r.Tag, q.Wait, r.Wait)
	}
	n := 1
	for _, other := range q.runs {
		if other.Service == r.Service {
			n++
		}
	}
	if n > Attempts {
		s.find("BUDGET", "request %s has %d attempts on service %s", r.Tag, n, r.Service)
	}
	if n > 1 {
		s.extra[r.Service] = append(s.extra[r.Service], s.now)
	}
	known := &run{Run: r, at: s.now}
	q.runs = append(q.runs, known)
	s.runs[r.ID] = known
	if !r.Accepted {
		known.ended = s.now
		return
	}
	if q.Class == Write {
		s.ranOnce(q)
	}
	s.follows(q, &r)
	s.drained(q, &r)
	if !q.left.IsZero() && s.now.Sub(q.left) > goneSlack && s.inTouch(q.Entry, q.left) && s.direct(q, known, q.left) {
		s.lateArrivals++
	}
}

// ranOnce judges a run of a request that may run once.
func (s *State) ranOnce(q *request) {
	n := 0
	for _, r := range q.runs {
		if r.Accepted {
			n++
		}
	}
	if n > 1 {
		s.find("TWICE", "request %s ran %d times", q.Tag, n)
	}
	if q.refused {
		s.find("REFUSED", "request %s ran after status %d", q.Tag, q.status)
	}
}

// drained judges a run on an upstream that leaves.
func (s *State) drained(q *request, r *Run) {
	listed, ok := s.listed[r.Host]
	if !ok || s.now.Sub(listed) <= drainWithin {
		return
	}
	s.report.Judged["DRAIN"]++
	if s.inTouch(q.Entry, s.now.Add(-drainWithin)) {
		s.find("DRAIN", "request %s ran on upstream %d, %v after it was listed as leaving", q.Tag, r.Host, s.now.Sub(listed))
	}
}

// ended judges the end of a run.
func (s *State) ended(e Ended) {
	r, q := s.runs[e.ID], s.requests[e.Tag]
	if r == nil || q == nil {
		return
	}
	r.ended, r.finished = s.now, e.Finished
	if q.left.IsZero() || q.Class == Write || !s.inTouch(q.Entry, q.left) || !s.direct(q, r, q.left) {
		return
	}
	switch late := s.now.Sub(q.left) > goneSlack; {
	case late:
		s.lateWork++
		s.report.Judged["GONE"]++
		s.note("upstream %d worked on request %s for %v after its caller had left", r.Host, q.Tag, s.now.Sub(q.left))
	case !e.Finished:
		s.report.Judged["GONE"]++
	}
}

// answered judges the end of a request at its caller.
func (s *State) answered(e Answered) {
	q := s.requests[e.Tag]
	q.answered, q.status = true, e.Status
	s.judgeTimeout(q)
	if e.Broken != "" {
		s.broken(q, e.Broken)
		return
	}
	if e.Surplus > 0 {
		s.find("MIXED", "%d bytes follow the answer to request %s", e.Surplus, q.Tag)
	}
	if e.Echo != "" && e.Echo != q.Tag {
		s.find("MIXED", "request %s got the answer to %q", q.Tag, e.Echo)
		return
	}
	switch {
	case e.Status >= 200 && e.Status < 300:
		s.report.Served++
		s.success(q, &e)
	case len(e.Receipts) > 0:
		s.find("MIXED", "request %s got status %d with a receipt of a run that succeeded", q.Tag, e.Status)
	case e.Status == 429 || e.Status == 503 || e.Status == 408 || e.Status == 421:
		q.refused = true
		if q.Class == Write && slices.ContainsFunc(q.runs, func(r *run) bool { return r.Accepted }) {
			s.find("REFUSED", "request %s ran and got status %d", q.Tag, e.Status)
		}
	case e.Status < 500:
		if q.Class != Added || s.due(q) {
			s.find("DENIED", "request %s to %s was answered %d", q.Tag, prefix(q.Class, q.Change), e.Status)
		}
	}
}

// judgeTimeout counts requests that have no answer at the timeout of their
// route.
func (s *State) judgeTimeout(q *request) {
	took := s.now.Sub(q.At)
	if q.Wait <= timeout || took <= timeout || !s.inTouch(q.Entry, q.At) {
		return
	}
	s.report.Judged["TIMEOUT"]++
	if took > timeout+timeoutSlack {
		s.lateAnswers++
		s.note("request %s was answered after %v", q.Tag, took)
	}
}

// broken judges a connection that ended without a complete answer.
func (s *State) broken(q *request, cause string) {
	took := s.now.Sub(q.At)
	if q.unheard || took >= min(q.Wait, timeout)-lossSlack || !s.sound(q.Entry, q.runs, q.At) {
		return
	}
	s.report.Judged["LOST"]++
	if len(q.runs) > 0 || took > lossSlack {
		s.find("LOST", "request %s of vm %d ended after %v without an answer, with %d runs: %s", q.Tag, q.Entry, took, len(q.runs), cause)
	}
}

// success judges an answer.
func (s *State) success(q *request, e *Answered) {
	var parts []*run
	services := make(map[string]bool)
	for _, id := range e.Receipts {
		r := s.runs[id]
		switch {
		case r == nil || r.Tag != q.Tag:
			s.find("MIXED", "request %s got receipt %q, which is not of a run for it", q.Tag, id)
			return
		case !r.finished:
			s.find("MIXED", "request %s got receipt %q of a run that has not finished", q.Tag, id)
			return
		case services[r.Service]:
			s.find("MIXED", "request %s got two parts of service %s", q.Tag, r.Service)
			return
		}
		services[r.Service] = true
		parts = append(parts, r)
	}
	if q.Class != Sweep {
		if len(parts) != 1 || !bytes.Equal(parts[0].Records, e.Body) {
			s.find("MIXED", "request %s got %d receipts and %d bytes that are not the upstream's", q.Tag, len(parts), len(e.Body))
		}
		return
	}
	if problem := s.merged(parts, services, e); problem != "" {
		s.find("MIXED", "request %s: %s", q.Tag, problem)
	}
}

// merged says what is wrong with a merged answer, or "".
func (s *State) merged(parts []*run, services map[string]bool, e *Answered) string {
	whole := 0
	for _, set := range shardSets() {
		if len(parts)+e.Missing == len(set) && !slices.ContainsFunc(parts, func(r *run) bool { return !slices.Contains(set, r.Service) }) {
			whole = len(set)
		}
	}
	switch {
	case whole == 0:
		return "its parts and what is missing are not a set of shards"
	case float64(len(services)) < coverage*float64(whole):
		return "too few parts"
	}
	var all [][]byte
	for _, r := range parts {
		for chunk := range slices.Chunk(r.Records, recordSize) {
			all = append(all, chunk)
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(bytes.Join(all[:min(records, len(all))], nil), e.Body) {
		return "its records are not the greatest of its parts"
	}
	return ""
}
