package admin

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
)

// Limits on operators' requests.
const (
	maxBody    = 1 << 20 // bytes
	maxPending = 1024    // changes and status requests without an answer
)

// Server answers operators' requests. Post and Vars must be set before use.
type Server struct {
	Post        func(event.Body) // passes events to the control loop
	PostTraffic func(event.Body) // passes events to a traffic loop; nil on a VM that serves no callers
	Vars        expvar.Var       // served by /debug/vars

	mu      sync.Mutex
	lastSeq uint64
	pending map[uint64]chan effect.AnswerOperator // requests without an answer, by Seq
	once    sync.Once
	mux     *http.ServeMux
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.registerRoutes)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) registerRoutes() {
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("PUT /v1/contract/{id}", s.putContract)
	s.mux.HandleFunc("DELETE /v1/contract/{id}", s.retireContract)
	s.mux.HandleFunc("GET /v1/contract", s.listContracts)
	s.mux.HandleFunc("GET /v1/contract/{id}", s.showContract)
	s.mux.HandleFunc("PUT /v1/upstream/{id}", s.putUpstream)
	s.mux.HandleFunc("POST /v1/upstream/{id}/drain", s.drainUpstream)
	s.mux.HandleFunc("DELETE /v1/upstream/{id}", s.removeUpstream)
	s.mux.HandleFunc("GET /v1/upstream", s.listUpstreams)
	s.mux.HandleFunc("GET /v1/upstream/{id}", s.showUpstream)
	s.mux.HandleFunc("PUT /v1/vm/{id}", s.putVM)
	s.mux.HandleFunc("POST /v1/vm/{id}/drain", s.drainVM)
	s.mux.HandleFunc("DELETE /v1/vm/{id}", s.removeVM)
	s.mux.HandleFunc("GET /v1/vm", s.listVMs)
	s.mux.HandleFunc("GET /v1/vm/{id}", s.showVM)
	s.mux.HandleFunc("PUT /v1/zone/{id}/out", s.takeZoneOut)
	s.mux.HandleFunc("DELETE /v1/zone/{id}/out", s.putZoneBack)
	s.mux.HandleFunc("GET /v1/zone", s.listZonesOut)
	s.mux.HandleFunc("GET /v1/status", s.status)
	s.mux.HandleFunc("GET /v1/explain", s.explain)
	s.mux.HandleFunc("GET /v1/plan", s.plan)
	s.mux.HandleFunc("GET /debug/vars", s.vars)
}

// Respond passes the answer of a loop to the request that waits for it.
func (s *Server) Respond(e effect.AnswerOperator) {
	s.mu.Lock()
	answer, ok := s.pending[e.Seq]
	delete(s.pending, e.Seq)
	s.mu.Unlock()
	if ok {
		answer <- e
	}
}

// request posts the event that build returns for a new sequence number, and waits for
// the answer with that number. It reports false when the client disconnected or too
// many requests are waiting.
func (s *Server) request(ctx context.Context, post func(event.Body), build func(seq uint64) event.Body) (effect.AnswerOperator, bool) {
	s.mu.Lock()
	if len(s.pending) >= maxPending {
		s.mu.Unlock()
		return effect.AnswerOperator{}, false
	}
	if s.pending == nil {
		s.pending = make(map[uint64]chan effect.AnswerOperator)
	}
	s.lastSeq++
	seq := s.lastSeq
	answer := make(chan effect.AnswerOperator, 1)
	s.pending[seq] = answer
	s.mu.Unlock()
	post(build(seq))
	select {
	case e := <-answer:
		return e, true
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pending, seq)
		return effect.AnswerOperator{}, false
	}
}

// FleetStatus requests the status of the fleet from the control loop. It reports false
// without an answer, or when a linearizable read was requested and the leader did
// not confirm that the status is current.
func (s *Server) FleetStatus(ctx context.Context, linearizable bool) (*effect.FleetStatus, bool) {
	answer, ok := s.request(ctx, s.Post, func(seq uint64) event.Body { return event.StatusRequest{Seq: seq, Linearizable: linearizable} })
	if !ok || answer.Status == nil || linearizable && !answer.Status.Current {
		return answer.Status, false
	}
	return answer.Status, true
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

// queryStatus requests the status of the fleet. The query parameter current=yes makes
// it a linearizable read. It reports false after responding to a request that cannot
// be served.
func (s *Server) queryStatus(w http.ResponseWriter, r *http.Request) (*effect.FleetStatus, bool) {
	linearizable := r.URL.Query().Get("current") == "yes"
	status, ok := s.FleetStatus(r.Context(), linearizable)
	switch {
	case status == nil:
		writeJSON(w, http.StatusServiceUnavailable, Result{Status: entry.StatusUnavailable.String()})
	case !ok:
		writeJSON(w, http.StatusServiceUnavailable, Result{
			Status: entry.StatusNoMajority.String(), Detail: "the leader did not confirm that the configuration is the newest",
		})
	}
	return status, ok
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	if status, ok := s.queryStatus(w, r); ok {
		writeJSON(w, http.StatusOK, statusFrom(status))
	}
}

// explain responds with the notes whose subject contains the query parameter subject.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	status, ok := s.queryStatus(w, r)
	if !ok {
		return
	}
	notes := []Note{}
	for _, n := range status.History {
		if strings.Contains(n.Subject, r.URL.Query().Get("subject")) {
			notes = append(notes, Note(n))
		}
	}
	writeJSON(w, http.StatusOK, notes)
}

func (s *Server) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"comfreypulley\": %s, \"memstats\": %s}\n", s.Vars.String(), expvar.Get("memstats").String())
}
