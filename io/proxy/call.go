package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// call is one attempt in flight.
type call struct {
	client   *Client
	pool     *pool
	exchange *Exchange
	forward  effect.Forward

	mu        sync.Mutex
	conn      *conn
	cancelled bool
}

func (a *call) run() {
	defer a.client.ended(a.forward.Attempt)
	a.client.Post(a.perform(time.Now()))
}

// cancel breaks the attempt off.
func (a *call) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	if a.conn != nil {
		a.conn.Close()
	}
}

// own registers the connection for cancel, and reports false when the attempt
// was cancelled before.
func (a *call) own(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.cancelled
}

// disown takes the connection back, and reports false when it was cancelled.
func (a *call) disown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.cancelled
}

// perform makes the attempt and returns its end.
func (a *call) perform(now time.Time) event.Body {
	end := now.Add(a.forward.Timeout)
	longest := idleTimeout
	if a.forward.Fresh {
		longest = freshWithin
	}
	c := a.pool.take(now, longest)
	fresh := c == nil
	if fresh {
		dialled, err := a.client.dial(a.pool.addr, min(dialTimeout, a.forward.Timeout))
		if err != nil {
			return a.failed(model.FailedRefused, model.RanNo, fresh)
		}
		c = &conn{Conn: dialled, reader: bufio.NewReader(dialled)}
	}
	if !a.own(c) {
		c.Close()
		return a.failed(model.FailedCancelled, model.RanNo, fresh)
	}
	returned, keep, err := a.exchangeOn(c, end)
	sound := a.disown()
	if err != nil || !keep || !sound {
		c.Close()
	} else {
		c.used, c.since = true, time.Now()
		a.pool.put(c)
	}
	if err != nil {
		return a.failed(a.reason(err), model.RanUnknown, fresh)
	}
	returned.Fresh = fresh
	return returned
}

func (a *call) failed(reason model.Failure, ran model.Ran, fresh bool) event.Failed {
	return event.Failed{Attempt: a.forward.Attempt, Reason: reason, Ran: ran, Fresh: fresh}
}

// reason turns an error of a connection into a reason.
func (a *call) reason(err error) model.Failure {
	a.mu.Lock()
	defer a.mu.Unlock()
	var invalid *AnswerError
	switch {
	case a.cancelled:
		return model.FailedCancelled
	case errors.As(err, &invalid):
		return model.FailedInvalid
	case errors.Is(err, os.ErrDeadlineExceeded):
		return model.FailedTimeout
	default:
		return model.FailedReset
	}
}

// AnswerError reports bytes that are not the answer to the request.
type AnswerError struct{ Problem string }

// Error implements error.
func (e *AnswerError) Error() string { return "answer of an upstream: " + e.Problem }

// exchangeOn writes the request and reads its answer, which is complete when
// there is no error. Keep tells that the connection can be used again.
func (a *call) exchangeOn(c *conn, end time.Time) (returned event.Returned, keep bool, err error) {
	if err = c.SetDeadline(end.Add(lateAnswer)); err != nil {
		return returned, false, err
	}
	request := a.request(end)
	if err = request.Write(c); err != nil {
		return returned, false, err
	}
	response, err := a.response(c, request)
	if err != nil {
		return returned, false, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return returned, false, fmt.Errorf("body: %w", err)
	}
	d := a.client.Dialect
	tag := response.Header.Get(d.Tag)
	switch {
	case len(body) > maxAnswer:
		return returned, false, &AnswerError{Problem: "is too long"}
	case tag != "" && tag != a.exchange.Tag:
		return returned, false, &AnswerError{Problem: "belongs to another request"}
	case response.Header.Get("Content-Encoding") != "":
		return returned, false, &AnswerError{Problem: "is encoded"}
	}
	returned = event.Returned{
		Attempt: a.forward.Attempt, Receipt: response.Header.Get(d.Receipt), Leaving: response.Close,
		NotRun: response.Header.Get(d.NotRun) != "", Other: response.StatusCode == http.StatusMisdirectedRequest,
		After: after(response.Header), Load: d.load(response.Header),
		Reply: model.Reply{Status: response.StatusCode, Body: body},
	}
	for name, values := range passing(response.Header) {
		for _, value := range values {
			if name != "Content-Length" && name != "Date" {
				returned.Reply.Headers = append(returned.Reply.Headers, model.Header{Name: name, Value: value})
			}
		}
	}
	c.until = time.Now().Add(keepFor(response.Header))
	return returned, !response.Close && c.reader.Buffered() == 0, nil
}

// response reads the header of the answer, past interim ones.
func (a *call) response(c *conn, request *http.Request) (*http.Response, error) {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, request)
		switch {
		case err != nil && (errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded)):
			return nil, err
		case err != nil:
			return nil, &AnswerError{Problem: err.Error()}
		case response.StatusCode >= 200:
			return response, nil
		}
	}
}

// request builds the request as the caller sent it, with what is left of the
// time and the upstream it is meant for.
func (a *call) request(end time.Time) *http.Request {
	x, d := a.exchange, a.client.Dialect
	headers := passing(x.Headers)
	headers.Set(d.Wait, strconv.FormatInt(max(1, time.Until(end).Milliseconds()), 10))
	headers.Set(d.Expect, string(a.forward.Upstream))
	if _, ok := headers["User-Agent"]; !ok {
		headers["User-Agent"] = nil // none is added
	}
	target := &url.URL{Scheme: "http", Host: x.Host, Opaque: x.URI}
	if strings.HasPrefix(x.URI, "//") {
		path, query, _ := strings.Cut(x.URI, "?")
		target = &url.URL{Path: path, RawPath: path, RawQuery: query}
	}
	r := &http.Request{
		Method: x.Method, URL: target, Host: x.Host, Header: headers, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(x.Body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(x.Body)), int64(len(x.Body))
	}
	return r
}

// keepFor returns how long a connection may stay idle.
func keepFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(idleTimeout, max(shortestIdle, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
	return idleTimeout
}
