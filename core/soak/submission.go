package soak

import (
	"time"
)

// submissionKind says what a submitted document is meant to do.
type submissionKind int

const (
	kindNewChange submissionKind = iota // a new configuration
	kindResend                          // the newest acknowledged document once more
	kindConflict                        // other content with the version of the newest acknowledged document
	kindInvalid                         // a document that must be rejected
)

// How submissions are drawn. An odds of n means one in n.
const (
	concurrentOdds     = 5    // of a second submission at the same time
	kindOdds           = 10   // of each kind other than kindNewChange
	maxVersionStep     = 3    // between two new configurations
	invalidVersionLead = 1000 // added to an invalid document's version; once accepted, no later document could replace it
)

// submission is a document sent to the operators' interface. The finding texts and
// the fault log call it an order.
type submission struct {
	kind    submissionKind
	change  int // number of the new configuration, counted from 0
	version uint64
	sentAt  time.Time
	ackedAt time.Time // zero before the acknowledgement
}

// submitDocument submits a new configuration or, at random, a document that must
// not change the configuration.
func (s *State) submitDocument() {
	sub := submission{kind: kindNewChange, sentAt: s.now}
	newest := s.newestAcked(s.now)
	if draw := s.random.IntN(kindOdds); newest >= 0 && submissionKind(draw) < kindInvalid {
		sub.kind = submissionKind(draw + 1)
	}
	if sub.kind == kindNewChange {
		sub.change = s.changeCount
		s.changeCount++
		s.lastVersion += 1 + s.random.Uint64N(maxVersionStep)
		sub.version = s.lastVersion
		s.changeSentAt = append(s.changeSentAt, s.now)
		s.changeAckedAt = append(s.changeAckedAt, time.Time{})
	} else {
		current := s.submissions[s.submissionOfChange[newest]]
		sub.change, sub.version = current.change, current.version
	}
	d, keys := newDocument(sub.change, sub.version)
	switch sub.kind {
	case kindNewChange, kindResend:
	case kindConflict:
		d.Routes[1].Timeout += time.Millisecond
	case kindInvalid:
		d.Version += invalidVersionLead
		d.Routes[1].Targets[0].Service = "missing"
	}
	number := len(s.submissions)
	s.submissions = append(s.submissions, sub)
	if sub.kind == kindNewChange {
		s.submissionOfChange = append(s.submissionOfChange, number)
	}
	s.emit(SubmitDocument{Number: number, Document: d, Keys: keys, NewestChange: newest})
	s.note("order %d: change %d, version %d, kind %d", number, sub.change, d.Version, sub.kind)
}

// newestAcked returns the number of the newest change acknowledged before a time,
// or -1.
func (s *State) newestAcked(before time.Time) int {
	for n := len(s.changeAckedAt) - 1; n >= 0; n-- {
		if !s.changeAckedAt[n].IsZero() && s.changeAckedAt[n].Before(before) {
			return n
		}
	}
	return -1
}

// judgeSubmission checks the answer to a submission.
func (s *State) judgeSubmission(e SubmissionResult) {
	sub := &s.submissions[e.Submission]
	valid := sub.kind != kindInvalid
	switch {
	case e.Status == 200 && !valid:
		s.addFinding("CONFIG", "order %d is invalid and was acknowledged", e.Submission)
	case e.Status == 200:
		s.note("order %d acknowledged", e.Submission)
		sub.ackedAt = s.now
		if sub.kind == kindNewChange {
			s.changeAckedAt[sub.change] = s.now
			s.report.Changes++
		}
	case valid:
		s.addFinding("CONFIG", "order %d is valid and was refused with status %d", e.Submission, e.Status)
	}
}

// judgeRead checks a document that a VM returned to an operator.
func (s *State) judgeRead(e DocumentRead) {
	number := e.Submission
	s.report.Reads++
	if number < 0 || number >= len(s.submissions) {
		s.addFinding("CONFIG", "vm %d returns a document that nobody sent", e.VM)
		return
	}
	sub := &s.submissions[number]
	if sub.kind == kindConflict || sub.kind == kindInvalid {
		s.addFinding("CONFIG", "vm %d returns order %d, which must not be in force", e.VM, number)
		return
	}
	if n := s.newestAcked(e.AskedAt.Add(-ApplyWithin)); n > sub.change {
		s.addFinding("CONFIG", "vm %d returns change %d, asked %v after change %d was acknowledged",
			e.VM, sub.change, e.AskedAt.Sub(s.changeAckedAt[n]), n)
	}
	s.lastReadChange, s.lastReadAt = sub.change, s.now
}

// judgeConfig checks that a run used a route that was in force.
func (s *State) judgeConfig(req *request, r *Run) {
	switch req.Class {
	case Move:
		s.judgeMoveConfig(req, r)
	case Added:
		if n := req.Change + addedRoutes; n < len(s.changeAckedAt) && s.mustApply(n, req) {
			s.addFinding("CONFIG", "request %s ran on a route that change %d dropped", req.ID, n)
		}
	default:
	}
}

// judgeMoveConfig derives from a run's service which change its VM had in force,
// and checks that this is not outdated and not older than an earlier one.
func (s *State) judgeMoveConfig(req *request, r *Run) {
	applied := -1
	for n := len(s.changeSentAt) - 1; n >= 0; n-- {
		if moveService(n) == r.Service {
			applied = n
			break
		}
	}
	if applied < 0 {
		return // judgeArrival reports the wrong service
	}
	s.report.Judged["CONFIG followed"]++
	if n := s.newestAcked(req.At.Add(-ApplyWithin)); n > applied && s.mustApply(n, req) {
		s.addFinding("CONFIG", "request %s followed change %d, sent %v after change %d was acknowledged",
			req.ID, applied, req.At.Sub(s.changeAckedAt[n]), n)
	}
	vm := &s.vms[req.VM]
	if seen := vm.newestChange; seen > applied && req.At.After(vm.newestChangeAt.Add(reorderSlack)) && req.At.After(vm.startedAt) {
		s.addFinding("CONFIG", "vm %d went back from change %d to %d with request %s", req.VM, seen, applied, req.ID)
	}
	if applied > vm.newestChange && req.At.After(vm.startedAt) {
		vm.newestChange, vm.newestChangeAt = applied, s.now
	}
}

// mustApply reports whether a request was sent so long after the acknowledgement
// of a change that its VM, being undisturbed, must have applied the change.
func (s *State) mustApply(change int, req *request) bool {
	acked := s.changeAckedAt[change]
	return !acked.IsZero() && req.At.After(acked.Add(ApplyWithin)) && s.vmAndLogStable(req.VM, req.At)
}

// mustHaveRoute reports whether the route of an Added request must exist: its
// change is in force, and the change that drops the route is not sent yet.
func (s *State) mustHaveRoute(req *request) bool {
	dropped := req.Change + addedRoutes
	return req.Change < len(s.changeAckedAt) && s.mustApply(req.Change, req) && dropped >= len(s.changeSentAt)
}
