package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/body"
	"comfreypulley/io/heads"
)

// attempt sends the query of an effect.Send to an upstream.
type attempt struct {
	dialer *Dialer
	pool   *pool
	send   effect.Send

	mu            sync.Mutex
	conn          *countingConn // nil before the attempt has a connection
	writtenBefore int64         // bytes written to conn before the attempt
	newConn       bool          // conn was opened for the attempt
}

// answerBody is the JSON body of a response with status 200.
type answerBody struct {
	Version uint64     `json:"version"`
	Shards  int        `json:"shards"`
	Shard   int        `json:"shard"`
	Items   []itemBody `json:"items"`
}

type itemBody struct {
	ID   string          `json:"id"`
	Rank float64         `json:"rank"`
	Data json.RawMessage `json:"data"`
}

func (a *attempt) run(ctx context.Context) {
	defer a.dialer.finishAttempt(a.send.Attempt)
	defer a.pool.closeIfReplaced()
	a.dialer.Post(a.roundTrip(ctx))
}

// roundTrip sends the query and returns the event that ends the attempt.
func (a *attempt) roundTrip(ctx context.Context) event.Body {
	response, err := a.pool.transport.RoundTrip(a.newRequest(ctx))
	if err != nil {
		return a.transportFailure(ctx, err)
	}
	defer response.Body.Close()
	if !answersAttempt(response, a.number()) {
		a.closeConn()
		return event.AttemptFailed{Attempt: a.send.Attempt, Reason: model.FailedInvalid, Ran: model.RanUnknown, NewConn: a.isNewConn()}
	}
	raw, err := a.dialer.bodies.ReadAll(response.Body, response.ContentLength)
	if err != nil {
		return a.transportFailure(ctx, err)
	}
	if response.StatusCode != http.StatusOK {
		return a.statusFailure(response)
	}
	var answer answerBody
	if err := json.Unmarshal(raw, &answer); err != nil || answer.Shards < 1 {
		return event.AttemptFailed{
			Attempt: a.send.Attempt, Reason: model.FailedInvalid, Ran: parseRan(response, model.RanUnknown),
			Load: heads.ParseLoad(response.Header.Get("Load")), NewConn: a.isNewConn(),
		}
	}
	items := make([]model.Item, len(answer.Items))
	for i, item := range answer.Items {
		items[i] = model.Item{ID: item.ID, Rank: item.Rank, Data: item.Data}
	}
	return event.AnswerReceived{
		Attempt: a.send.Attempt, Version: model.SnapshotVersion(answer.Version), ShardCount: answer.Shards, Shard: answer.Shard,
		Items: items, Load: heads.ParseLoad(response.Header.Get("Load")), NewConn: a.isNewConn(),
	}
}

func (a *attempt) newRequest(ctx context.Context) *http.Request {
	s := a.send
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := fmt.Sprintf("http://%s/v1/shard/%s/%d/%d", s.Addr, s.Index, s.Version, s.Shard)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(s.Body))
	if err != nil {
		// The URL is valid: index names are checked when a query arrives.
		panic(err)
	}
	// Without GetBody, http.Transport does not resend a request when a reused
	// connection breaks. It would otherwise do so for every request with an
	// Idempotency-Key.
	r.GetBody = nil
	r.Header.Set("Request", a.dialer.RequestIDPrefix+"-"+strconv.FormatUint(uint64(s.Request), 10))
	r.Header.Set(attemptHeader, a.number())
	r.Header.Set("Timeout", strconv.FormatInt(max(1, s.Timeout.Milliseconds()), 10))
	if !s.Key.IsZero() {
		r.Header.Set("Idempotency-Key", s.Key.String())
	}
	return r
}

// gotConn records the connection, from which ran derives what was written.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	a.writtenBefore = conn.written.Load()
	a.newConn = !info.Reused
}

// number is the value of attemptHeader.
func (a *attempt) number() string { return strconv.FormatUint(uint64(a.send.Attempt), 10) }

// closeConn closes the connection of the attempt.
func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		_ = a.conn.Close() // always nil
	}
}

func (a *attempt) isNewConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newConn
}

// ran returns RanNo when no byte of the request was written, and RanUnknown
// otherwise.
func (a *attempt) ran() model.Ran {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil || a.conn.written.Load() == a.writtenBefore {
		return model.RanNo
	}
	return model.RanUnknown
}

// transportFailure returns the event for an error of the transport.
func (a *attempt) transportFailure(ctx context.Context, err error) event.AttemptFailed {
	f := event.AttemptFailed{Attempt: a.send.Attempt, Reason: model.FailedReset, Ran: a.ran(), NewConn: a.isNewConn()}
	var op *net.OpError
	var size *body.SizeError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Reason = model.FailedTimeout
	case ctx.Err() != nil:
		f.Reason = model.FailedCancelled
	case errors.As(err, &op) && op.Op == "dial":
		f.Reason = model.FailedRefused
	case errors.As(err, &size):
		f.Reason = model.FailedInvalid
	}
	return f
}

// statusFailure returns the event for a status other than 200.
func (a *attempt) statusFailure(r *http.Response) event.AttemptFailed {
	f := event.AttemptFailed{
		Attempt: a.send.Attempt, Reason: model.FailedInvalid, Ran: parseRan(r, model.RanUnknown),
		RetryAfter: heads.ParseRetryAfter(r.Header), Load: heads.ParseLoad(r.Header.Get("Load")), NewConn: a.isNewConn(),
	}
	switch r.StatusCode {
	case http.StatusConflict:
		f.Reason = model.FailedVersion
	case http.StatusTooManyRequests:
		f.Reason = model.FailedShed
	case http.StatusGatewayTimeout:
		f.Reason = model.FailedTimeout
	case http.StatusServiceUnavailable:
		f.Reason = model.FailedShed
		switch r.Header.Get("State") {
		case "drained":
			f.Reason = model.FailedDrained
		case "cold":
			f.Reason = model.FailedCold
		}
	}
	return f
}

// parseRan reads the Ran header. It returns missing when the header has no known
// value.
func parseRan(r *http.Response, missing model.Ran) model.Ran {
	switch r.Header.Get("Ran") {
	case "no":
		return model.RanNo
	case "yes":
		return model.RanYes
	default:
		return missing
	}
}
