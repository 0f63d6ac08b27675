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
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Limits on operators' requests.
const (
	maxBody    = 1 << 20 // bytes
	maxPending = 1024    // changes and status requests without an answer
)

// Headers of a change.
const (
	headerExpectRevision = "Expect-Revision"
	headerOperation      = "Operation"
)

// queryOperation is the query parameter with the operation to which a change is redirected.
const queryOperation = "operation"

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

// change sends a change to the log and responds with its result. With requireRevision
// set, it rejects a request without the header Expect-Revision. An operation id in the
// header distinguishes the change from later ones; one that has none and does not say what
// it follows is redirected to the id under which it takes effect.
func (s *Server) change(w http.ResponseWriter, r *http.Request, c entry.Change, requireRevision bool) {
	c.Op = model.OpID(cmp.Or(r.Header.Get(headerOperation), r.URL.Query().Get(queryOperation)))
	text := r.Header.Get(headerExpectRevision)
	if text == "" && requireRevision {
		writeInvalid(w, http.StatusPreconditionRequired, c.Op, headerExpectRevision+" must state the revision of the object")
		return
	}
	if text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeInvalid(w, http.StatusBadRequest, c.Op, headerExpectRevision+" must be a revision, not "+strconv.Quote(text))
			return
		}
		c.ExpectedRevision = model.Revision(revision)
	}
	if c.Op == "" && !c.IsUnordered() {
		c.Op = model.OpID(rand.Text())
	}
	result, confirm := s.Change(r.Context(), c)
	if confirm != "" {
		w.Header().Set("Location", r.URL.EscapedPath()+"?"+url.Values{queryOperation: {string(confirm)}}.Encode())
		writeJSON(w, http.StatusTemporaryRedirect, resultFrom(c.Op, result))
		return
	}
	writeJSON(w, httpStatus(result.Status), resultFrom(c.Op, result))
}

// Change sends a change to the log and returns its result. When it was not carried out,
// confirm is the operation under which the operator must send it again; otherwise confirm
// is empty.
func (s *Server) Change(ctx context.Context, c entry.Change) (result entry.Result, confirm model.OpID) {
	answer, ok := s.request(ctx, s.Post, func(seq uint64) event.Body { return event.OperatorCommand{Seq: seq, Command: c} })
	if !ok {
		return entry.Result{Status: entry.StatusUnavailable, Detail: "too many operators' requests are waiting"}, ""
	}
	return answer.Result, answer.Confirm
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

// httpStatus returns the HTTP status code for the status of a command.
func httpStatus(s entry.Status) int {
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

// writeInvalid responds to a request that was rejected as invalid.
func writeInvalid(w http.ResponseWriter, code int, op model.OpID, detail string) {
	writeJSON(w, code, resultFrom(op, entry.Result{Status: entry.StatusInvalid, Detail: detail}))
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

// readBody decodes the JSON body of an object, whose id must be the one in the path.
// It reports false after responding to an invalid request.
func readBody[B interface{ id() string }](w http.ResponseWriter, r *http.Request, b *B) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		decoder := json.NewDecoder(strings.NewReader(string(raw)))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(b)
	}
	if err == nil && (*b).id() != r.PathValue("id") {
		err = fmt.Errorf("the body has id %q, but the path has id %q", (*b).id(), r.PathValue("id"))
	}
	if err != nil {
		writeInvalid(w, http.StatusBadRequest, "", err.Error())
		return false
	}
	return true
}

func (s *Server) putContract(w http.ResponseWriter, r *http.Request) {
	var b contractBody
	if readBody(w, r, &b) {
		v := b.model()
		s.change(w, r, entry.Change{Contract: &v}, false)
	}
}

func (s *Server) retireContract(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, entry.Change{Contract: &model.Contract{Customer: r.PathValue("id"), Retired: true}}, true)
}

func (s *Server) putUpstream(w http.ResponseWriter, r *http.Request) {
	var b upstreamBody
	if readBody(w, r, &b) {
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
	if readBody(w, r, &b) {
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

func (s *Server) takeZoneOut(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, entry.Change{Zone: &entry.ZoneOrder{Zone: model.Zone(r.PathValue("id")), Out: true}}, false)
}

func (s *Server) putZoneBack(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, entry.Change{Zone: &entry.ZoneOrder{Zone: model.Zone(r.PathValue("id"))}}, false)
}

// listZonesOut responds with the zones whose upstreams are out of use.
func (s *Server) listZonesOut(w http.ResponseWriter, r *http.Request) {
	status, ok := s.queryStatus(w, r)
	if !ok {
		return
	}
	zones := []model.Zone{}
	if status.Topology != nil {
		zones = append(zones, status.Topology.ZonesOut...)
	}
	writeJSON(w, http.StatusOK, zones)
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

// list responds with all objects of a kind, ascending by id.
func list[K cmp.Ordered, V, B any](s *Server, w http.ResponseWriter, r *http.Request, objects func(*model.Topology) map[K]V, body func(V) B) {
	status, ok := s.queryStatus(w, r)
	if !ok {
		return
	}
	bodies := []B{}
	byID := objects(status.Topology)
	for _, k := range slices.Sorted(maps.Keys(byID)) {
		bodies = append(bodies, body(byID[k]))
	}
	writeJSON(w, http.StatusOK, bodies)
}

// show responds with the object whose id is in the path.
func show[K ~string, V, B any](s *Server, w http.ResponseWriter, r *http.Request, objects func(*model.Topology) map[K]V, body func(V) B) {
	status, ok := s.queryStatus(w, r)
	if !ok {
		return
	}
	v, ok := objects(status.Topology)[K(r.PathValue("id"))]
	if !ok {
		writeJSON(w, http.StatusNotFound, Result{Status: entry.StatusInvalid.String(), Detail: "does not exist"})
		return
	}
	writeJSON(w, http.StatusOK, body(v))
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
