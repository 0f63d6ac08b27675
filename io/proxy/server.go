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
)

// Bounds of what callers may send.
const (
	maxBody     = 1 << 20
	maxRequests = 4096 // in hand at once
)

// Server takes callers' requests and answers them. Dialect and Post are set
// before use.
type Server struct {
	Dialect *Dialect
	Post    func(event.Body)

	next    atomic.Uint64
	ready   atomic.Bool
	leaving atomic.Bool
	mu      sync.Mutex
	pending map[model.RequestID]*Exchange
	active  int           // requests being served
	idle    chan struct{} // closed when none is left after Refuse; nil before
}

// SetReady sets what the balancer's check sees. Callers of a server that is not
// ready are asked to close their connections. One that is leaving stays unready.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Leave makes the server unready for good and asks callers to close their
// connections.
func (s *Server) Leave() { s.leaving.Store(true) }

// Refuse makes the server refuse every further request. The channel is closed
// once those in hand have their answers.
func (s *Server) Refuse() (idle <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = make(chan struct{})
	if s.active == 0 {
		close(s.idle)
	}
	return s.idle
}

// enter counts a request. It reports false when requests are refused.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle != nil {
		return false
	}
	s.active++
	return true
}

func (s *Server) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active--; s.active == 0 && s.idle != nil {
		close(s.idle)
	}
}

// Ready reports whether the balancer should send callers here.
func (s *Server) Ready() bool { return s.ready.Load() && !s.leaving.Load() }

// Exchange returns a request in hand, nil when it has ended.
func (s *Server) Exchange(id model.RequestID) *Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending[id]
}

// Finish hands an effect.SendResponse, effect.SendMergedResponse, effect.Refuse or effect.SendPortionResult to the request
// that waits for it.
func (s *Server) Finish(id model.RequestID, e effect.Effect) {
	s.mu.Lock()
	x, ok := s.pending[id]
	if g, part := e.(effect.SendPortionResult); !part || !g.More {
		delete(s.pending, id)
	}
	s.mu.Unlock()
	if ok {
		x.answer <- e
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.Ready() {
		// The balancer sends this caller's next connection elsewhere.
		w.Header().Set("Connection", "close")
	}
	s.serve(w, r, nil)
}

// serve answers a caller, or another VM for a portion of its caller's request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, portion *model.Portion) {
	if !s.enter() {
		s.refuse(w, model.Rejection{Reason: model.RefusedDraining, Ran: model.RanNo, RetryAfter: drainPause})
		return
	}
	defer s.exit()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x := &Exchange{
		Method: r.Method, Host: r.Host, URI: r.RequestURI, Headers: r.Header, Body: body, Tag: r.Header.Get(s.Dialect.Tag),
	}
	frames := 1
	if portion != nil {
		frames = 2*len(portion.Shards) + 1 // a shard has one piece, and failures may come in frames of their own
	}
	x.answer = make(chan effect.Effect, frames)
	id := model.RequestID(s.next.Add(1))
	if !s.add(id, x) {
		s.refuse(w, model.Rejection{Reason: model.RefusedBusy, Ran: model.RanNo, RetryAfter: busyPause})
		return
	}
	path, _, _ := strings.Cut(x.URI, "?")
	s.Post(event.ProxyRequest{
		ID: id, CallerRequestID: x.Tag, Host: r.Host, Path: path, Wait: s.Dialect.wait(r.Header), Fingerprint: x.fingerprint(),
		Portion: portion, NewConn: first(r),
	})
	if portion != nil {
		if !s.stream(w, r, x) {
			s.leave(id)
		}
		return
	}
	select {
	case e := <-x.answer:
		s.write(w, e)
	case <-r.Context().Done():
		s.leave(id)
	}
}

// leave gives a request up whose caller has left.
func (s *Server) leave(id model.RequestID) {
	s.mu.Lock()
	delete(s.pending, id)
	s.mu.Unlock()
	s.Post(event.CallerDisconnected{Request: id})
}

// drainPause is when a caller may come back that met a server which is leaving:
// another one takes its next connection.
const drainPause = time.Millisecond

// busyPause is when a caller may come back that found too many requests in hand.
const busyPause = 100 * time.Millisecond

func (s *Server) add(id model.RequestID, x *Exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxRequests {
		return false
	}
	if s.pending == nil {
		s.pending = make(map[model.RequestID]*Exchange)
	}
	s.pending[id] = x
	return true
}

func (s *Server) write(w http.ResponseWriter, e effect.Effect) {
	switch e := e.(type) {
	case effect.SendResponse:
		for _, h := range e.Response.Headers {
			w.Header().Add(h.Name, h.Value)
		}
		s.body(w, e.Response.Status, e.Response.Body)
	case effect.SendMergedResponse:
		for _, receipt := range e.Response.Receipts {
			w.Header().Add(s.Dialect.Receipts, receipt)
		}
		w.Header().Set(s.Dialect.Missing, strconv.Itoa(e.Response.MissingShards))
		s.body(w, http.StatusOK, e.Response.Records)
	case effect.Refuse:
		s.refuse(w, e.Rejection)
	}
}

func (s *Server) body(w http.ResponseWriter, status int, body []byte) {
	if w.Header().Get("Content-Type") == "" {
		w.Header()["Content-Type"] = nil // none is guessed
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that left is told by its request's context
}

// refuse writes a refusal. The statuses 429 and 503 state that the request did
// not run and never will.
func (s *Server) refuse(w http.ResponseWriter, r model.Rejection) {
	status := http.StatusServiceUnavailable
	switch r.Reason {
	case model.RefusedRoute:
		status = http.StatusNotFound
	case model.RefusedQuarantine:
		status = http.StatusTooManyRequests
	case model.RefusedFailed, model.RefusedCoverage:
		status = http.StatusBadGateway
	case model.RefusedTimeout:
		status = http.StatusGatewayTimeout
	default:
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		seconds := math.Ceil(r.RetryAfter.Seconds()*1000) / 1000
		w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	s.body(w, status, []byte(string(r.Reason)+"\n"))
}
