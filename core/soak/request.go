package soak

import (
	"bytes"
	"slices"
	"time"
)

const recordSize = 16 // bytes, in the answer of an upstream

// request is a caller's request and what became of it.
type request struct {
	Request
	runs     []*run
	leftAt   time.Time // when its caller closed the connection without an answer; zero before
	vmDown   bool      // the VM was not running when the request was sent
	refused  bool      // the status says that the request did not run
	answered bool      // the answer or an error arrived
	status   int       // HTTP status of the answer
}

// run is an attempt that reached an upstream.
type run struct {
	Run
	startedAt time.Time
	endedAt   time.Time // zero while it runs
	finished  bool      // it ran to its end
}

// mayRunOn reports whether a document sent so far routes a request to a service.
func (s *State) mayRunOn(req *request, service string) bool {
	switch req.Class {
	case Sweep:
		sets := shardSets()
		return slices.Contains(sets[0], service) || len(s.changeSentAt) > shardSetChanges && slices.Contains(sets[1], service)
	case Move:
		for n := range min(len(s.changeSentAt), moveServices) {
			if moveService(n) == service {
				return true
			}
		}
		return false
	default:
		return service == plainService
	}
}

// judgeArrival checks an attempt that reached an upstream.
func (s *State) judgeArrival(r Run) {
	s.report.Runs++
	req := s.requests[r.RequestID]
	switch {
	case req == nil:
		s.addFinding("UNASKED", "upstream %d got request %q, which nobody sent", r.Upstream, r.RequestID)
		return
	case req.Digest != r.Digest:
		s.addFinding("UNASKED", "upstream %d got request %s changed", r.Upstream, r.RequestID)
	case r.Accepted && !s.mayRunOn(req, r.Service):
		s.addFinding("ROUTE", "request %s reached service %s", r.RequestID, r.Service)
	}
	s.judgePause(&r)
	s.judgeTeam(req, &r)
	s.judgeZone(req, &r)
	s.countZoneCalls(&r)
	if r.Wait <= 0 || r.Wait > req.Wait+cancelSlack {
		s.addFinding("BUDGET", "request %s waits %v and its upstream was told %v", r.RequestID, req.Wait, r.Wait)
	}
	n := 1
	for _, other := range req.runs {
		if other.Service == r.Service {
			n++
		}
	}
	if n > MaxAttempts {
		s.addFinding("BUDGET", "request %s has %d attempts on service %s", r.RequestID, n, r.Service)
	}
	if n > 1 {
		s.extraAttempts[r.Service] = append(s.extraAttempts[r.Service], s.now)
	}
	arrived := &run{Run: r, startedAt: s.now}
	req.runs = append(req.runs, arrived)
	s.runs[r.Receipt] = arrived
	if !r.Accepted {
		arrived.endedAt = s.now
		return
	}
	if req.Class == Write {
		s.judgeWrite(req)
	}
	s.judgeConfig(req, &r)
	s.judgeDrain(req, &r)
	if !req.leftAt.IsZero() && s.now.Sub(req.leftAt) > cancelSlack &&
		s.vmAndLogStable(req.VM, req.leftAt) && s.runPathStable(req, arrived, req.leftAt) {
		s.lateArrivals++
	}
}

// judgeWrite checks that a request ran at most once, and not at all if the
// answer to the caller stated so.
func (s *State) judgeWrite(req *request) {
	n := 0
	for _, r := range req.runs {
		if r.Accepted {
			n++
		}
	}
	if n > 1 {
		s.addFinding("TWICE", "request %s ran %d times", req.ID, n)
	}
	if req.refused {
		s.addFinding("REFUSED", "request %s ran after status %d", req.ID, req.status)
	}
}

// judgeDrain checks that an upstream receives no request once it is listed as
// draining.
func (s *State) judgeDrain(req *request, r *Run) {
	listed, ok := s.drainListedAt[r.Upstream]
	if !ok || s.now.Sub(listed) <= drainWithin {
		return
	}
	s.report.Judged["DRAIN"]++
	if s.vmAndLogStable(req.VM, s.now.Add(-drainWithin)) {
		s.addFinding("DRAIN", "request %s ran on upstream %d, %v after it was listed as leaving", req.ID, r.Upstream, s.now.Sub(listed))
	}
}

// judgeRunEnd counts runs that went on after their caller had disconnected.
func (s *State) judgeRunEnd(e RunEnded) {
	r, req := s.runs[e.Receipt], s.requests[e.RequestID]
	if r == nil || req == nil {
		return
	}
	r.endedAt, r.finished = s.now, e.Finished
	if req.leftAt.IsZero() || req.Class == Write || !s.vmAndLogStable(req.VM, req.leftAt) || !s.runPathStable(req, r, req.leftAt) {
		return
	}
	switch late := s.now.Sub(req.leftAt) > cancelSlack; {
	case late:
		s.lateRunEnds++
		s.report.Judged["GONE"]++
		s.note("upstream %d worked on request %s for %v after its caller had left", r.Upstream, req.ID, s.now.Sub(req.leftAt))
	case !e.Finished:
		s.report.Judged["GONE"]++
	}
}

// judgeAnswer checks the answer that a caller received for its request.
func (s *State) judgeAnswer(e AnswerReceived) {
	req := s.requests[e.RequestID]
	req.answered, req.status = true, e.Status
	s.judgeTimeout(req)
	if e.ConnError != "" {
		s.judgeBrokenConn(req, e.ConnError)
		return
	}
	if e.ExtraBytes > 0 {
		s.addFinding("MIXED", "%d bytes follow the answer to request %s", e.ExtraBytes, req.ID)
	}
	if e.EchoedID != "" && e.EchoedID != req.ID {
		s.addFinding("MIXED", "request %s got the answer to %q", req.ID, e.EchoedID)
		return
	}
	switch {
	case e.Status >= 200 && e.Status < 300:
		s.report.Served++
		s.judgeSuccess(req, &e)
	case len(e.Receipts) > 0:
		s.addFinding("MIXED", "request %s got status %d with a receipt of a run that succeeded", req.ID, e.Status)
	case e.Status == 429 || e.Status == 503 || e.Status == 408 || e.Status == 421:
		req.refused = true
		if req.Class == Write && slices.ContainsFunc(req.runs, func(r *run) bool { return r.Accepted }) {
			s.addFinding("REFUSED", "request %s ran and got status %d", req.ID, e.Status)
		}
	case e.Status < 500:
		if req.Class != Added || s.mustHaveRoute(req) {
			s.addFinding("DENIED", "request %s to %s was answered %d", req.ID, pathPrefix(req.Class, req.Change), e.Status)
		}
	}
}

// judgeTimeout counts requests that were not answered by the timeout of their route.
func (s *State) judgeTimeout(req *request) {
	took := s.now.Sub(req.At)
	if req.Wait <= routeTimeout || took <= routeTimeout || !s.vmAndLogStable(req.VM, req.At) {
		return
	}
	s.report.Judged["TIMEOUT"]++
	if took > routeTimeout+timeoutSlack {
		s.lateAnswers++
		s.note("request %s was answered after %v", req.ID, took)
	}
}

// judgeBrokenConn checks that a request lost with its connection had not been read
// by the VM, unless a fault explains the loss.
func (s *State) judgeBrokenConn(req *request, cause string) {
	took := s.now.Sub(req.At)
	if req.vmDown || took >= min(req.Wait, routeTimeout)-closeSlack || !s.vmAndUpstreamsStable(req.VM, req.runs, req.At) {
		return
	}
	s.report.Judged["LOST"]++
	if len(req.runs) > 0 || took > closeSlack {
		s.addFinding("LOST", "request %s of vm %d ended after %v without an answer, with %d runs: %s",
			req.ID, req.VM, took, len(req.runs), cause)
	}
}

// judgeSuccess checks that an answer holds exactly what the upstreams named by its
// receipts returned for this request.
func (s *State) judgeSuccess(req *request, e *AnswerReceived) {
	var parts []*run
	services := make(map[string]bool)
	for _, id := range e.Receipts {
		r := s.runs[id]
		switch {
		case r == nil || r.RequestID != req.ID:
			s.addFinding("MIXED", "request %s got receipt %q, which is not of a run for it", req.ID, id)
			return
		case !r.finished:
			s.addFinding("MIXED", "request %s got receipt %q of a run that has not finished", req.ID, id)
			return
		case services[r.Service]:
			s.addFinding("MIXED", "request %s got two parts of service %s", req.ID, r.Service)
			return
		}
		services[r.Service] = true
		parts = append(parts, r)
	}
	if req.Class != Sweep {
		if len(parts) != 1 || !bytes.Equal(parts[0].Records, e.Body) {
			s.addFinding("MIXED", "request %s got %d receipts and %d bytes that are not the upstream's", req.ID, len(parts), len(e.Body))
		}
		return
	}
	if problem := s.mergeProblem(parts, services, e); problem != "" {
		s.addFinding("MIXED", "request %s: %s", req.ID, problem)
	}
}

// mergeProblem describes the first problem of a merged answer. It returns "" for a
// correct one.
func (s *State) mergeProblem(parts []*run, services map[string]bool, e *AnswerReceived) string {
	shardCount := 0
	for _, set := range shardSets() {
		if len(parts)+e.MissingShards == len(set) && !slices.ContainsFunc(parts, func(r *run) bool { return !slices.Contains(set, r.Service) }) {
			shardCount = len(set)
		}
	}
	switch {
	case shardCount == 0:
		return "its parts and what is missing are not a set of shards"
	case float64(len(services)) < minCoverage*float64(shardCount):
		return "too few parts"
	}
	var all [][]byte
	for _, r := range parts {
		for chunk := range slices.Chunk(r.Records, recordSize) {
			all = append(all, chunk)
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(bytes.Join(all[:min(topK, len(all))], nil), e.Body) {
		return "its records are not the greatest of its parts"
	}
	return ""
}
