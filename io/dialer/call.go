package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/heads"
)

// call is one attempt in flight.
type call struct {
	dialer *Dialer
	client *client
	send   effect.Send

	mu     sync.Mutex
	conn   *countedConn // connection the attempt got, nil before
	before int64        // bytes written on conn before the attempt
	fresh  bool
}

// answer is the body of an upstream's 200.
type answer struct {
	Version uint64 `json:"version"`
	Shards  int    `json:"shards"`
	Shard   int    `json:"shard"`
	Items   []item `json:"items"`
}

type item struct {
	ID   string          `json:"id"`
	Rank float64         `json:"rank"`
	Data json.RawMessage `json:"data"`
}

func (c *call) run(ctx context.Context) {
	defer c.dialer.ended(c.send.Attempt)
	defer c.client.release()
	c.dialer.Post(c.exchange(ctx))
}

// exchange sends the attempt and returns its end.
func (c *call) exchange(ctx context.Context) event.Body {
	response, err := c.client.transport.RoundTrip(c.request(ctx))
	if err != nil {
		return c.failed(ctx, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return c.failed(ctx, err)
	}
	if response.StatusCode != http.StatusOK {
		return c.refused(response)
	}
	var a answer
	if err := json.Unmarshal(body, &a); err != nil || len(body) > maxAnswer || a.Shards < 1 {
		return event.AttemptFailed{
			Attempt: c.send.Attempt, Reason: model.FailedInvalid, Ran: ranOf(response, model.RanUnknown),
			Load: heads.Load(response.Header.Get("Load")), NewConn: c.isFresh(),
		}
	}
	items := make([]model.Item, len(a.Items))
	for i, it := range a.Items {
		items[i] = model.Item{ID: it.ID, Rank: it.Rank, Data: it.Data}
	}
	return event.AnswerReceived{
		Attempt: c.send.Attempt, Version: model.SnapshotVersion(a.Version), ShardCount: a.Shards, Shard: a.Shard,
		Items: items, Load: heads.Load(response.Header.Get("Load")), NewConn: c.isFresh(),
	}
}

func (c *call) request(ctx context.Context) *http.Request {
	s := c.send
	trace := &httptrace.ClientTrace{GotConn: c.gotConn}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := fmt.Sprintf("http://%s/v1/shard/%s/%d/%d", s.Addr, s.Index, s.Version, s.Shard)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(s.Body))
	if err != nil {
		// Index names are checked before they reach the dialer.
		panic(err)
	}
	// Without GetBody the transport does not repeat a request on its own. It
	// would otherwise do so for every request with an Idempotency-Key.
	r.GetBody = nil
	r.Header.Set("Request", c.dialer.Origin+"-"+strconv.FormatUint(uint64(s.Request), 10))
	r.Header.Set("Attempt", strconv.FormatUint(uint64(s.Attempt), 10))
	r.Header.Set("Timeout", strconv.FormatInt(max(1, s.Timeout.Milliseconds()), 10))
	if !s.Key.IsZero() {
		r.Header.Set("Idempotency-Key", s.Key.String())
	}
	return r
}

// gotConn notes the connection, so that failed can tell what was written.
func (c *call) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	c.before = conn.written.Load()
	c.fresh = !info.Reused
}

func (c *call) isFresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh
}

// ran reports whether the upstream may have read any byte of the attempt.
func (c *call) ran() model.Ran {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.conn.written.Load() == c.before {
		return model.RanNo
	}
	return model.RanUnknown
}

// failed turns a transport error into the end of the attempt.
func (c *call) failed(ctx context.Context, err error) event.AttemptFailed {
	f := event.AttemptFailed{Attempt: c.send.Attempt, Reason: model.FailedReset, Ran: c.ran(), NewConn: c.isFresh()}
	var op *net.OpError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Reason = model.FailedTimeout
	case ctx.Err() != nil:
		f.Reason = model.FailedCancelled
	case errors.As(err, &op) && op.Op == "dial":
		f.Reason = model.FailedRefused
	}
	return f
}

// refused turns a status other than 200 into the end of the attempt.
func (c *call) refused(r *http.Response) event.AttemptFailed {
	f := event.AttemptFailed{
		Attempt: c.send.Attempt, Reason: model.FailedInvalid, Ran: ranOf(r, model.RanUnknown),
		RetryAfter: heads.After(r.Header), Load: heads.Load(r.Header.Get("Load")), NewConn: c.isFresh(),
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

// ranOf reads the Ran header.
func ranOf(r *http.Response, missing model.Ran) model.Ran {
	switch r.Header.Get("Ran") {
	case "no":
		return model.RanNo
	case "yes":
		return model.RanYes
	default:
		return missing
	}
}
