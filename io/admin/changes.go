package admin

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Headers of a change.
const (
	headerExpectRevision = "Expect-Revision"
	headerOperation      = "Operation"
)

// queryOperation is the query parameter with the operation to which a change is redirected.
const queryOperation = "operation"

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
