package caller

import (
	"net/http"
	"sync"
	"sync/atomic"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/gate"
)

// Limits of callers' requests.
const (
	maxBodyBytes = 1 << 20
	maxRequests  = 8192 // in flight
)

// Server accepts callers' queries, posts them to the traffic loops and writes the
// answers that the loops decide on. Set Posts and RequestIDPrefix before use.
type Server struct {
	Posts           []func(event.Body) // one for each traffic loop; passes an event to it
	RequestIDPrefix string             // makes request ids unique across VMs and restarts; sent in the header Origin

	lastID  atomic.Uint64
	ready   atomic.Bool
	gate    gate.Gate
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

// SetReady sets the readiness that the load balancer's health check reads.
func (s *Server) SetReady(e effect.Ready) {
	s.ready.Store(e.Ready)
}

// RefuseRequests makes the server refuse every further request without a loop. The
// channel is closed once those in flight have been answered, after which the loops
// may stop.
func (s *Server) RefuseRequests() (idle <-chan struct{}) { return s.gate.Close() }

// SendAnswer answers a query.
func (s *Server) SendAnswer(e effect.SendAnswer) {
	s.respond(e.Answer.Request, e)
}

// Refuse refuses a query.
func (s *Server) Refuse(e effect.Refuse) {
	s.respond(e.Refusal.Request, e)
}

func (s *Server) respond(id model.RequestID, e effect.Effect) {
	s.mu.Lock()
	response, ok := s.pending[id]
	delete(s.pending, id)
	s.mu.Unlock()
	if ok {
		response <- e
	}
}

func (s *Server) serveReady(w http.ResponseWriter) {
	if !s.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, requireKey bool) {
	if s.RequestIDPrefix != "" {
		w.Header().Set("Origin", s.RequestIDPrefix)
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	n := s.lastID.Add(1)
	id := model.RequestID(n)
	if !s.gate.Enter() {
		w.Header().Set("Connection", "close")
		writeRefusal(w, model.Refusal{Request: id, Reason: model.RefusedDraining, Detail: "the process stops", Ran: model.RanNo})
		return
	}
	defer s.gate.Leave()
	request, err := parse(w, r, requireKey)
	if err != nil {
		writeRefusal(w, model.Refusal{Request: id, Reason: model.RefusedInvalid, Detail: err.Error(), Ran: model.RanNo})
		return
	}
	request.ID = id
	response, ok := s.register(id)
	if !ok {
		writeRefusal(w, model.Refusal{Request: id, Reason: model.RefusedBusy, Detail: "too many requests in hand", Ran: model.RanNo})
		return
	}
	post := s.Posts[n%uint64(len(s.Posts))]
	post(request)
	select {
	case e := <-response:
		writeEffect(w, e)
	case <-r.Context().Done():
		s.unregister(id)
		post(event.CallerDisconnected{Request: id})
		// A caller that has closed only its sending side still reads, and would take a
		// return without an answer for an empty success.
		panic(http.ErrAbortHandler)
	}
}

// register adds a request in flight and returns the channel for its response. It
// reports false when too many are in flight.
func (s *Server) register(id model.RequestID) (chan effect.Effect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxRequests {
		return nil, false
	}
	if s.pending == nil {
		s.pending = make(map[model.RequestID]chan effect.Effect)
	}
	response := make(chan effect.Effect, 1)
	s.pending[id] = response
	return response, true
}

func (s *Server) unregister(id model.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}
