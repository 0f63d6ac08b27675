package admin

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Bounds of what operators may send.
const (
	maxBody    = 1 << 20
	maxPending = 1024 // commands and inquiries without an answer
)

// Headers of a change.
const (
	headerExpect    = "Expect-Revision"
	headerOperation = "Operation"
)

// Server takes operators' requests and answers them. Post and Vars are set
// before use.
type Server struct {
	Post func(event.Body)
	Vars expvar.Var

	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan effect.AnswerOperator
	once    sync.Once
	mux     *http.ServeMux
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.route)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) route() {
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
	s.mux.HandleFunc("GET /v1/status", s.status)
	s.mux.HandleFunc("GET /v1/explain", s.explain)
	s.mux.HandleFunc("GET /debug/vars", s.vars)
}

// Respond gives the control loop's answer to the request that waits for it.
func (s *Server) Respond(e effect.AnswerOperator) {
	s.mu.Lock()
	waiting, ok := s.pending[e.Seq]
	delete(s.pending, e.Seq)
	s.mu.Unlock()
	if ok {
		waiting <- e
	}
}

// ask posts an event with a number and waits for the answer with it. It reports
// false when the client went away or too many requests wait.
func (s *Server) ask(ctx context.Context, build func(n uint64) event.Body) (effect.AnswerOperator, bool) {
	s.mu.Lock()
	if len(s.pending) >= maxPending {
		s.mu.Unlock()
		return effect.AnswerOperator{}, false
	}
	if s.pending == nil {
		s.pending = make(map[uint64]chan effect.AnswerOperator)
	}
	s.next++
	n := s.next
	waiting := make(chan effect.AnswerOperator, 1)
	s.pending[n] = waiting
	s.mu.Unlock()
	s.Post(build(n))
	select {
	case e := <-waiting:
		return e, true
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pending, n)
		return effect.AnswerOperator{}, false
	}
}

// change sends a change to the log and writes its result.
func (s *Server) change(w http.ResponseWriter, r *http.Request, c entry.Change, mustExpect bool) {
	c.Op = model.OpID(cmp.Or(r.Header.Get(headerOperation), rand.Text()))
	text := r.Header.Get(headerExpect)
	if text == "" && mustExpect {
		fail(w, http.StatusPreconditionRequired, c.Op, headerExpect+" must state the revision of the object")
		return
	}
	if text != "" {
		expect, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			fail(w, http.StatusBadRequest, c.Op, headerExpect+" must be a revision, not "+strconv.Quote(text))
			return
		}
		c.ExpectedRevision = model.Revision(expect)
	}
	result := s.Change(r.Context(), c)
	write(w, code(result.Status), resultFrom(c.Op, result))
}

// Change sends a change to the log and returns its result.
func (s *Server) Change(ctx context.Context, c entry.Change) entry.Result {
	answer, ok := s.ask(ctx, func(n uint64) event.Body { return event.OperatorCommand{Seq: n, Command: c} })
	if !ok {
		return entry.Result{Status: entry.StatusUnavailable, Detail: "too many operators' requests are waiting"}
	}
	return answer.Result
}

// FleetStatus asks the control loop. It reports false without an answer, or when a
// confirmed one was asked for and the leader did not confirm it.
func (s *Server) FleetStatus(ctx context.Context, confirmed bool) (*effect.FleetStatus, bool) {
	answer, ok := s.ask(ctx, func(n uint64) event.Body { return event.StatusRequest{Seq: n, Linearizable: confirmed} })
	if !ok || answer.Status == nil || confirmed && !answer.Status.Current {
		return answer.Status, false
	}
	return answer.Status, true
}

func code(s entry.Status) int {
	switch s {
	case entry.StatusOK:
		return http.StatusOK
	case entry.StatusConflict:
		return http.StatusConflict
	case entry.StatusInvalid:
		return http.StatusBadRequest
	case entry.StatusNoMajority, entry.StatusNotLeader, entry.StatusUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

func fail(w http.ResponseWriter, status int, op model.OpID, detail string) {
	write(w, status, resultFrom(op, entry.Result{Status: entry.StatusInvalid, Detail: detail}))
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// read decodes the body of an object whose id is in the path.
func read[B interface{ id() string }](w http.ResponseWriter, r *http.Request, b *B) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		decoder := json.NewDecoder(strings.NewReader(string(raw)))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(b)
	}
	if err == nil && (*b).id() != r.PathValue("id") {
		err = fmt.Errorf("the body is of %q, the path of %q", (*b).id(), r.PathValue("id"))
	}
	if err != nil {
		fail(w, http.StatusBadRequest, "", err.Error())
		return false
	}
	return true
}

func (s *Server) putContract(w http.ResponseWriter, r *http.Request) {
	var b contractBody
	if read(w, r, &b) {
		v := b.model()
		s.change(w, r, entry.Change{Contract: &v}, false)
	}
}

func (s *Server) retireContract(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, entry.Change{Contract: &model.Contract{Customer: r.PathValue("id"), Retired: true}}, true)
}

func (s *Server) putUpstream(w http.ResponseWriter, r *http.Request) {
	var b upstreamBody
	if read(w, r, &b) {
		v := b.model()
		s.change(w, r, entry.Change{Upstream: &v}, false)
	}
}

func (s *Server) drainUpstream(w http.ResponseWriter, r *http.Request) {
	id := model.UpstreamID(r.PathValue("id"))
	s.change(w, r, entry.Change{Upstream: &model.Upstream{ID: id, State: model.StateDraining}}, true)
}

func (s *Server) removeUpstream(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, entry.Change{Remove: &entry.Removal{Upstream: model.UpstreamID(r.PathValue("id"))}}, true)
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var b vmBody
	if read(w, r, &b) {
		v := b.model()
		s.change(w, r, entry.Change{VM: &v}, false)
	}
}

func (s *Server) drainVM(w http.ResponseWriter, r *http.Request) {
	id := model.VMID(r.PathValue("id"))
	s.change(w, r, entry.Change{VM: &model.VM{ID: id, State: model.StateDraining}}, true)
}

func (s *Server) removeVM(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, entry.Change{Remove: &entry.Removal{VM: model.VMID(r.PathValue("id"))}}, true)
}

// inquire asks the control loop, with current=yes in the query for an answer
// that the leader confirmed.
func (s *Server) inquire(w http.ResponseWriter, r *http.Request) (*effect.FleetStatus, bool) {
	linearizable := r.URL.Query().Get("current") == "yes"
	status, ok := s.FleetStatus(r.Context(), linearizable)
	switch {
	case status == nil:
		write(w, http.StatusServiceUnavailable, Result{Status: entry.StatusUnavailable.String()})
	case !ok:
		write(w, http.StatusServiceUnavailable, Result{
			Status: entry.StatusNoMajority.String(), Detail: "the leader did not confirm that the configuration is the newest",
		})
	}
	return status, ok
}

// list writes the objects in the order of their ids.
func list[K cmp.Ordered, V, B any](s *Server, w http.ResponseWriter, r *http.Request, rows func(*model.Topology) map[K]V, body func(V) B) {
	status, ok := s.inquire(w, r)
	if !ok {
		return
	}
	bodies := []B{}
	objects := rows(status.Topology)
	for _, k := range slices.Sorted(maps.Keys(objects)) {
		bodies = append(bodies, body(objects[k]))
	}
	write(w, http.StatusOK, bodies)
}

func show[K ~string, V, B any](s *Server, w http.ResponseWriter, r *http.Request, rows func(*model.Topology) map[K]V, body func(V) B) {
	status, ok := s.inquire(w, r)
	if !ok {
		return
	}
	v, ok := rows(status.Topology)[K(r.PathValue("id"))]
	if !ok {
		write(w, http.StatusNotFound, Result{Status: entry.StatusInvalid.String(), Detail: "does not exist"})
		return
	}
	write(w, http.StatusOK, body(v))
}

func contracts(t *model.Topology) map[string]model.Contract           { return t.Contracts }
func upstreams(t *model.Topology) map[model.UpstreamID]model.Upstream { return t.Upstreams }
func vms(t *model.Topology) map[model.VMID]model.VM                   { return t.VMs }

func (s *Server) listContracts(w http.ResponseWriter, r *http.Request) {
	list(s, w, r, contracts, contractFrom)
}

func (s *Server) showContract(w http.ResponseWriter, r *http.Request) {
	show(s, w, r, contracts, contractFrom)
}

func (s *Server) listUpstreams(w http.ResponseWriter, r *http.Request) {
	list(s, w, r, upstreams, upstreamFrom)
}

func (s *Server) showUpstream(w http.ResponseWriter, r *http.Request) {
	show(s, w, r, upstreams, upstreamFrom)
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) { list(s, w, r, vms, vmFrom) }

func (s *Server) showVM(w http.ResponseWriter, r *http.Request) { show(s, w, r, vms, vmFrom) }

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	if status, ok := s.inquire(w, r); ok {
		write(w, http.StatusOK, statusFrom(status))
	}
}

// explain writes the notes whose subject contains the text in the query.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	status, ok := s.inquire(w, r)
	if !ok {
		return
	}
	notes := []Note{}
	for _, n := range status.History {
		if strings.Contains(n.Subject, r.URL.Query().Get("subject")) {
			notes = append(notes, Note(n))
		}
	}
	write(w, http.StatusOK, notes)
}

func (s *Server) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"comfreypulley\": %s, \"memstats\": %s}\n", s.Vars.String(), expvar.Get("memstats").String())
}
