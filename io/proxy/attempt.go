package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/heads"
)

// attempt sends a caller's request to an upstream, or a portion of it to another
// VM, and reads the response.
type attempt struct {
	client   *Client
	pool     *pool
	request  *CallerRequest
	forward  effect.Forward
	deadline time.Time // the caller's deadline
	newConn  bool      // a new connection was opened for the attempt

	rejectedBefore time.Time // an earlier reset of the new connection is a rejection of it; written before the connection is read

	mu        sync.Mutex
	conn      *conn // nil before the attempt has a connection
	cancelled bool
	done      bool
}

// start sends the request on an idle connection, or opens a new one.
func (a *attempt) start(now time.Time) {
	maxIdle := defaultIdleTimeout
	if a.forward.AvoidStaleConn {
		maxIdle = staleAfter
	}
	c := a.pool.take(a, now, a.deadline.Add(timeoutGrace), maxIdle)
	if c == nil {
		a.newConn = true
		a.client.wg.Add(1)
		go a.run()
		return
	}
	if !a.attach(c) {
		c.fail(errCancelled)
		return
	}
	a.write(c)
}

// errCancelled ends a connection whose attempt was cancelled before it sent the
// request.
var errCancelled = errors.New("cancelled")

// run opens a connection, sends the request and reads from the connection until it is
// closed. An upstream may answer before it has read the whole request.
func (a *attempt) run() {
	dialed := time.Now()
	raw, err := a.client.dial(a.pool.addr, min(dialTimeout, a.forward.Timeout))
	if err != nil {
		a.client.wg.Done()
		a.fail(model.FailedRefused)
		return
	}
	roundTrip := time.Since(dialed)
	if a.forward.AwaitReset {
		if reason := awaitReset(raw, roundTrip); reason != "" {
			raw.Close()
			a.client.wg.Done()
			a.fail(reason)
			return
		}
	}
	a.rejectedBefore = time.Now().Add(roundTrip + resetMargin)
	c := newConn(raw, a.client, a.pool)
	if !c.assign(a, a.deadline.Add(timeoutGrace)) || !a.attach(c) {
		c.terminate()
		a.client.wg.Done()
		a.fail(model.FailedCancelled)
		return
	}
	a.write(c)
	c.readLoop()
}

// write sends the request without blocking: what the connection does not take at once
// is left to a goroutine.
func (a *attempt) write(c *conn) {
	if len(a.request.Body) > maxInlineBody {
		c.writeLater(a.encode)
		return
	}
	b := a.encode()
	n, err := c.tryWrite(b)
	switch {
	case err != nil:
		c.Close() // conn.readLoop ends the attempt
	case n < len(b):
		c.writeLater(func() []byte { return b[n:] })
	}
}

// encode returns the bytes of the request.
func (a *attempt) encode() []byte {
	a.request.encodeOnce.Do(func() { a.request.encodeSharedHead(a.client.HeaderNames) })
	return a.request.encodeAttempt(a.client.HeaderNames, a.deadline, &a.forward)
}

// attach registers the connection for cancel. It reports false when the attempt
// has already been cancelled.
func (a *attempt) attach(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.cancelled
}

// cancel aborts the attempt by closing its connection.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	if a.conn != nil && !a.done {
		a.conn.abort()
	}
}

// finish posts the result of the attempt unless one was posted before.
func (a *attempt) finish(result event.Body) {
	a.mu.Lock()
	first := !a.done
	a.done = true
	a.mu.Unlock()
	if first {
		a.client.removeAttempt(a.forward.Attempt)
		a.client.Post(result)
	}
}

// fail ends the attempt without a response. Once the attempt has a connection,
// the upstream may have received the request.
func (a *attempt) fail(reason model.FailureReason) {
	a.mu.Lock()
	sent := a.conn != nil
	a.mu.Unlock()
	ran := model.RanNo
	if sent {
		ran = model.RanUnknown
	}
	rejected := reason == model.FailedConns || reason == model.FailedReset && time.Now().Before(a.rejectedBefore)
	a.finish(event.AttemptFailed{Attempt: a.forward.Attempt, Reason: reason, Ran: ran, NewConn: a.newConn, Rejected: rejected})
}

// failureReason returns the failure reason for an error of the connection.
func (a *attempt) failureReason(err error) model.FailureReason {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.cancelled:
		return model.FailedCancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return model.FailedTimeout
	case isConnError(err):
		return model.FailedReset
	default:
		return model.FailedInvalid
	}
}

// isConnError reports whether an error is one of the connection, and not of the
// bytes that were read from it.
func isConnError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// ResponseError reports a response that is malformed or does not belong to the
// request.
type ResponseError struct{ Problem string }

// Error implements error.
func (e *ResponseError) Error() string { return "answer of an upstream: " + e.Problem }

// readResponse reads the complete response and returns the event that ends the
// attempt. The connection may stay idle for idleTimeout; 0 means that it must not
// be used again.
func (a *attempt) readResponse(c *conn) (result event.Body, idleTimeout time.Duration, err error) {
	response, err := a.readHeader(c)
	if err != nil {
		return nil, 0, err
	}
	defer func() {
		if err != nil {
			c.Close() // otherwise closing the body would read the rest of it
		}
		response.Body.Close()
	}()
	if a.forward.Portion != nil {
		result, err = a.readPortionResults(response)
		if !response.Close && c.reader.Buffered() == 0 {
			idleTimeout = a.idleTimeoutFor(response.Header)
		}
		return result, idleTimeout, err
	}
	if a.forward.Handover != nil {
		result, err = a.readHandoverResult(response)
		if !response.Close && c.reader.Buffered() == 0 {
			idleTimeout = a.idleTimeoutFor(response.Header)
		}
		return result, idleTimeout, err
	}
	body, err := a.client.bodies.ReadAll(response.Body, response.ContentLength)
	if err != nil {
		return nil, 0, fmt.Errorf("read the response body: %w", err)
	}
	if !response.Close && c.reader.Buffered() == 0 {
		idleTimeout = a.idleTimeoutFor(response.Header)
	}
	names := a.client.HeaderNames
	requestID := response.Header.Get(names.RequestID)
	switch {
	case requestID != "" && requestID != a.request.ID:
		return nil, 0, &ResponseError{Problem: "belongs to another request"}
	case response.Header.Get("Content-Encoding") != "":
		return nil, 0, &ResponseError{Problem: "is encoded"}
	}
	received := event.ResponseReceived{
		Attempt: a.forward.Attempt, Receipt: response.Header.Get(names.Receipt), ClosesConn: response.Close,
		NotRun: response.Header.Get(names.NotRun) != "", WrongUpstream: response.StatusCode == http.StatusMisdirectedRequest,
		RetryAfter: heads.ParseRetryAfter(response.Header), Load: heads.ParseLoad(response.Header.Get(names.Load)), NewConn: a.newConn,
		Leaving:  response.Header.Get(names.Leaving) != "",
		Limit:    heads.ParseLimit(response.Header.Get(names.Limit)),
		Response: model.Response{Status: response.StatusCode, Body: body},
	}
	if !a.forward.BodyOnly {
		received.Response.Headers = responseHeaders(response.Header)
	}
	return received, idleTimeout, nil
}

// readPortionResults reads another VM's response to a portion. It posts every
// frame but the last and returns the last one as the result. Any status other
// than 200 is a refusal: the other VM has sent nothing to upstreams.
func (a *attempt) readPortionResults(response *http.Response) (result event.Body, err error) {
	if response.StatusCode != http.StatusOK {
		_, err = a.client.bodies.ReadAll(response.Body, response.ContentLength)
		reason := model.FailedShed
		if r := parseRefusal(response.Header); r != nil && r.Reason == model.RefusedUnreachable {
			reason = model.FailedUnreachable
		}
		return event.AttemptFailed{Attempt: a.forward.Attempt, Reason: reason, Ran: model.RanNo, NewConn: a.newConn}, err
	}
	limited := a.client.bodies.NewReader(response.Body)
	defer limited.Release()
	body := bufio.NewReader(limited)
	for range maxPortionFrames(len(a.forward.Portion.Shards)) {
		frame, err := readPortionFrame(body)
		if err != nil {
			return nil, fmt.Errorf("read a frame of a portion: %w", err)
		}
		r := event.PortionResult{Attempt: a.forward.Attempt, Results: frame.Results, Records: frame.Records, More: frame.More}
		if !frame.More {
			_, err := io.Copy(io.Discard, body) // to the end of the body, so that the connection can be used again
			return r, err
		}
		a.mu.Lock()
		done := a.done
		a.mu.Unlock()
		if !done {
			a.client.Post(r)
		}
	}
	return nil, &ResponseError{Problem: "has too many frames of a portion"}
}

// responseHeaders returns the headers that are passed to the caller. The server
// sets Content-Length and Date itself, and the headers between VMs are only theirs.
func responseHeaders(h http.Header) []model.Header {
	var list []model.Header
	for name, values := range endToEndHeaders(h) {
		for _, value := range values {
			switch name {
			case "Content-Length", "Date", handoverHeader, refusalHeader, leavingHeader:
			default:
				list = append(list, model.Header{Name: name, Value: value})
			}
		}
	}
	return list
}

// readHeader reads the header of the response and skips interim (1xx) responses.
func (a *attempt) readHeader(c *conn) (*http.Response, error) {
	request := &http.Request{Method: a.request.Method}
	c.head.begin()
	defer c.head.end()
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(c.reader, request)
		switch {
		case err != nil && isConnError(err):
			return nil, err
		case err != nil:
			return nil, &ResponseError{Problem: err.Error()}
		}
		interim, err := heads.CheckStatus(response)
		switch {
		case err != nil:
			return nil, &ResponseError{Problem: err.Error()}
		case !interim:
			return response, nil
		}
		a.readAcceptance(response)
	}
	return nil, &ResponseError{Problem: fmt.Sprintf("follows more than %d interim responses", maxInterimResponses)}
}

// idleTimeoutFor returns how long the connection may stay idle after a response
// with the given headers.
func (a *attempt) idleTimeoutFor(h http.Header) time.Duration {
	timeout := defaultIdleTimeout
	if a.forward.IdleTimeout > 0 {
		timeout = min(timeout, a.forward.IdleTimeout)
	}
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(timeout, max(minIdleTimeout, time.Duration(seconds)*time.Second-idleTimeoutMargin))
		}
	}
	return timeout
}
