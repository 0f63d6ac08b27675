package caller

import (
	"net/http"
	"sync"
	"sync/atomic"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Bounds of what callers may send.
const (
	maxBody     = 1 << 20
	maxRequests = 8192 // in hand at once
)

// Server takes callers' requests and answers them. Posts and Origin are set
// before use. Posts has one entry for each traffic loop.
type Server struct {
	Posts  []func(event.Body)
	Origin string // prefix that makes request ids unique across VMs and restarts

	next    atomic.Uint64
	ready   atomic.Bool
	mu      sync.Mutex
	pending map[model.RequestID]chan effect.Effect
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/ready":
		s.serveReady(w)
	case "/v1/query":
		s.serveRequest(w, r, false)
	case "/v1/run":
		s.serveRequest(w, r, true)
	default:
		http.NotFound(w, r)
	}
}

// SetReady sets what the balancer's check sees.
func (s *Server) SetReady(e effect.Ready) {
	s.ready.Store(e.Ready)
}

// Reply answers a request.
func (s *Server) Reply(e effect.SendAnswer) {
	s.finish(e.Answer.Request, e)
}

// Refuse refuses a request.
func (s *Server) Refuse(e effect.Refuse) {
	s.finish(e.Rejection.Request, e)
}

func (s *Server) finish(id model.RequestID, e effect.Effect) {
	s.mu.Lock()
	waiting, ok := s.pending[id]
	delete(s.pending, id)
	s.mu.Unlock()
	if ok {
		waiting <- e
	}
}

func (s *Server) serveReady(w http.ResponseWriter) {
	if !s.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, run bool) {
	if s.Origin != "" {
		w.Header().Set("Origin", s.Origin)
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	n := s.next.Add(1)
	id := model.RequestID(n)
	request, err := parse(w, r, run)
	if err != nil {
		writeRefusal(w, model.Rejection{Request: id, Reason: model.RefusedInvalid, Detail: err.Error(), Ran: model.RanNo})
		return
	}
	request.ID = id
	waiting, ok := s.wait(id)
	if !ok {
		writeRefusal(w, model.Rejection{Request: id, Reason: model.RefusedBusy, Detail: "too many requests in hand", Ran: model.RanNo})
		return
	}
	post := s.Posts[n%uint64(len(s.Posts))]
	post(request)
	select {
	case e := <-waiting:
		write(w, e)
	case <-r.Context().Done():
		s.forget(id)
		post(event.CallerDisconnected{Request: id})
	}
}

// wait registers a request, unless too many are in hand.
func (s *Server) wait(id model.RequestID) (chan effect.Effect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxRequests {
		return nil, false
	}
	if s.pending == nil {
		s.pending = make(map[model.RequestID]chan effect.Effect)
	}
	waiting := make(chan effect.Effect, 1)
	s.pending[id] = waiting
	return waiting, true
}

func (s *Server) forget(id model.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}
