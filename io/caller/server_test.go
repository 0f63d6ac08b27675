package caller_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/caller"
)

// client sends one request to a server and keeps the response.
type client struct {
	server   *caller.Server
	response *httptest.ResponseRecorder
	done     chan struct{}
}

func newClient(s *caller.Server) *client {
	return &client{server: s, response: httptest.NewRecorder(), done: make(chan struct{})}
}

func (c *client) run() {
	defer close(c.done)
	r := httptest.NewRequest(http.MethodPost, "/v1/query", strings.NewReader(`{"index":"pairing","query":{}}`))
	r.Header.Set("Authorization", "Bearer acme.secret")
	r.Header.Set("Wait", "1s")
	c.server.ServeHTTP(c.response, r)
}

// Guards against requests that are accepted during a planned stop after the loops
// have stopped, and that get no answer.
func TestStoppingServerRefusesRequests(t *testing.T) {
	posted := make(chan event.Body, 10)
	s := &caller.Server{Posts: []func(event.Body){func(b event.Body) { posted <- b }}}
	before := newClient(s)
	go before.run()
	request := (<-posted).(event.QueryRequest)
	idle := s.RefuseRequests()
	after := newClient(s)
	after.run()
	if got := after.response; got.Code != http.StatusServiceUnavailable || !strings.Contains(got.Body.String(), `"ran":"no"`) {
		t.Errorf("got %d %s for a request during the stop, want a refusal as not run", got.Code, got.Body)
	}
	select {
	case <-idle:
		t.Error("the server is idle with a request in flight")
	case <-posted:
		t.Error("a request during the stop reached the loop")
	default:
	}
	s.Refuse(effect.Refuse{Refusal: model.Refusal{Request: request.ID, Reason: model.RefusedDeadline, Ran: model.RanNo}})
	<-before.done
	<-idle
	if got, want := before.response.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d for the request in flight, want %d", got, want)
	}
}
