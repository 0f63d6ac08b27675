package proxy

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/gate"
)

// Limits of callers' requests.
const (
	maxBodyBytes = 1 << 20
	maxRequests  = 4096 // in flight
)

// Server accepts callers' requests, posts them to the loop and writes the
// responses that the loop decides on. Set HeaderNames and Post before use.
type Server struct {
	HeaderNames *HeaderNames
	Post        func(event.Body) // passes an event to the loop

	lastID   atomic.Uint64
	ready    atomic.Bool
	draining atomic.Bool
	cutOff   atomic.Bool
	maxBody  atomic.Int64 // bytes of a request; 0 for maxBodyBytes
	gate     gate.Gate
	mu       sync.Mutex
	pending  map[model.RequestID]*CallerRequest
}

// SetReady sets whether the load balancer should send callers to this VM. A
// server that is not ready asks callers to close their connections. A draining
// server stays unready.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// StartDraining makes the server unready from now on. Requests are still
// answered, and callers are asked to close their connections.
func (s *Server) StartDraining() { s.draining.Store(true) }

// RefuseRequests makes the server refuse every further request. The channel is
// closed once those in flight have been answered.
func (s *Server) RefuseRequests() (idle <-chan struct{}) { return s.gate.Close() }

// CutOff makes the server refuse the requests whose bodies it is still reading, since no
// loop may be left to decide on them. It follows RefuseRequests.
func (s *Server) CutOff() { s.cutOff.Store(true) }

// SetMaxBody sets how long the body of a request may be, in bytes. Values that are not
// between 1 and maxBodyBytes stand for maxBodyBytes.
func (s *Server) SetMaxBody(n int) { s.maxBody.Store(int64(n)) }

// bodyLimit returns how long the body of a request may be, in bytes.
func (s *Server) bodyLimit() int64 {
	if n := s.maxBody.Load(); n > 0 && n < maxBodyBytes {
		return n
	}
	return maxBodyBytes
}

// Ready reports whether the load balancer should send callers to this VM.
func (s *Server) Ready() bool { return s.ready.Load() && !s.draining.Load() }

// CallerRequest returns a request in flight, nil when it has ended.
func (s *Server) CallerRequest(id model.RequestID) *CallerRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending[id]
}

// Respond passes an effect.AcceptHandover, effect.SendResponse, effect.SendMergedResponse,
// effect.SendPortionResult or effect.Refuse to the handler of the request. It
// does nothing when the caller has disconnected.
func (s *Server) Respond(id model.RequestID, e effect.Effect) {
	s.mu.Lock()
	request, ok := s.pending[id]
	if isLast(e) {
		delete(s.pending, id)
	}
	s.mu.Unlock()
	if ok {
		request.responses <- e
	}
}

// isLast reports whether no further effect for the same request follows.
func isLast(e effect.Effect) bool {
	switch e := e.(type) {
	case effect.AcceptHandover:
		return false
	case effect.SendPortionResult:
		return !e.More
	default:
		return true
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.Ready() {
		// The load balancer sends this caller's next connection to another VM.
		w.Header().Set("Connection", "close")
	}
	s.serve(w, r, nil, nil)
}

// serve handles a caller's request, or a portion or the whole of another VM's request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, portion *model.Portion, handover *model.Handover) {
	if !s.gate.Enter() {
		s.refuseDraining(w)
		return
	}
	defer s.gate.Leave()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.bodyLimit()))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.cutOff.Load() {
		s.refuseDraining(w)
		return
	}
	request := &CallerRequest{
		Method: r.Method, Host: r.Host, URI: r.RequestURI, Headers: r.Header, Body: body, ID: r.Header.Get(s.HeaderNames.RequestID),
	}
	capacity := 2 // an acceptance and the answer
	if portion != nil {
		capacity = maxPortionFrames(len(portion.Shards))
	}
	request.responses = make(chan effect.Effect, capacity)
	id := model.RequestID(s.lastID.Add(1))
	if !s.register(id, request) {
		s.writeRefusal(w, model.Refusal{Reason: model.RefusedBusy, Ran: model.RanNo, RetryAfter: busyRetryAfter})
		return
	}
	path, _, _ := strings.Cut(request.URI, "?")
	s.Post(event.ProxyRequest{
		ID: id, CallerRequestID: request.ID, Host: r.Host, Path: path, Wait: s.HeaderNames.parseWait(r.Header),
		Fingerprint: request.fingerprint(), Key: parseKey(r.Header), Portion: portion, Handover: handover, NewConn: isFirstRequest(r), RoundTrip: roundTripOf(r),
	})
	if portion != nil {
		if !s.streamPortionResults(w, r, request) {
			s.abandon(id)
			panic(http.ErrAbortHandler) // a partial stream must not end like a complete one
		}
		return
	}
	for {
		select {
		case e := <-request.responses:
			s.writeEffect(w, e)
			if isLast(e) {
				return
			}
		case <-r.Context().Done():
			s.abandon(id)
			// A caller that has closed only its sending side still reads, and would take
			// a return without an answer for an empty success.
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) refuseDraining(w http.ResponseWriter) {
	s.writeRefusal(w, model.Refusal{Reason: model.RefusedDraining, Ran: model.RanNo, RetryAfter: drainingRetryAfter})
}

// abandon removes a request whose caller has disconnected.
func (s *Server) abandon(id model.RequestID) {
	s.mu.Lock()
	delete(s.pending, id)
	s.mu.Unlock()
	s.Post(event.CallerDisconnected{Request: id})
}

// drainingRetryAfter is the Retry-After of a draining server. It is short because
// another VM accepts the caller's next connection.
const drainingRetryAfter = time.Millisecond

// busyRetryAfter is the Retry-After when too many requests are in flight.
const busyRetryAfter = 100 * time.Millisecond

func (s *Server) register(id model.RequestID, request *CallerRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxRequests {
		return false
	}
	if s.pending == nil {
		s.pending = make(map[model.RequestID]*CallerRequest)
	}
	s.pending[id] = request
	return true
}

func (s *Server) writeEffect(w http.ResponseWriter, e effect.Effect) {
	switch e := e.(type) {
	case effect.AcceptHandover:
		writeAcceptance(w, e)
	case effect.SendResponse:
		addLeaving(w, e.Leaving)
		for _, h := range e.Response.Headers {
			w.Header().Add(h.Name, h.Value)
		}
		s.writeBody(w, e.Response.Status, e.Response.Body)
	case effect.SendMergedResponse:
		addLeaving(w, e.Leaving)
		for _, receipt := range e.Response.Receipts {
			w.Header().Add(s.HeaderNames.Receipts, receipt)
		}
		w.Header().Set(s.HeaderNames.MissingShards, strconv.Itoa(e.Response.MissingShards))
		s.writeBody(w, http.StatusOK, e.Response.Records)
	case effect.Refuse:
		s.writeRefusal(w, e.Refusal)
	}
}

// addLeaving names upstreams that are about to stop in the answer to a VM that has
// handed a request over.
func addLeaving(w http.ResponseWriter, ids []model.UpstreamID) {
	if w.Header().Get(handoverHeader) == "" {
		return
	}
	for _, id := range ids {
		w.Header().Add(leavingHeader, string(id))
	}
}

func (s *Server) writeBody(w http.ResponseWriter, status int, body []byte) {
	if w.Header().Get("Content-Type") == "" {
		w.Header()["Content-Type"] = nil // keeps net/http from guessing one
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails when the caller has disconnected
}

// writeRefusal writes a refusal. The statuses 429 and 503 state that the request
// did not run and will not run later.
func (s *Server) writeRefusal(w http.ResponseWriter, r model.Refusal) {
	status := http.StatusServiceUnavailable
	switch r.Reason {
	case model.RefusedRoute:
		status = http.StatusNotFound
	case model.RefusedCredential:
		status = http.StatusUnauthorized
		w.Header().Set("WWW-Authenticate", "Bearer")
	case model.RefusedQuarantine, model.RefusedQuota:
		status = http.StatusTooManyRequests
	case model.RefusedFailed, model.RefusedCoverage:
		status = http.StatusBadGateway
	case model.RefusedTimeout:
		status = http.StatusGatewayTimeout
	default:
	}
	if r.Ran != model.RanNo && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		status = http.StatusBadGateway // the other statuses state that the request did not run
	}
	w.Header().Set(refusalHeader, formatRefusal(r))
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		seconds := math.Ceil(r.RetryAfter.Seconds()*1000) / 1000
		w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	s.writeBody(w, status, []byte(string(r.Reason)+"\n"))
}
