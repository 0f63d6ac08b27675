package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/heads"
)

// call is one attempt in flight.
type call struct {
	client   *Client
	pool     *pool
	exchange *Exchange
	forward  effect.Forward
	end      time.Time // when what is left of the caller's time ends
	fresh    bool      // a new connection was made

	mu        sync.Mutex
	conn      *conn // nil before the connection is made
	cancelled bool
	done      bool
}

// start sends the request on an idle connection, or on a new one.
func (a *call) start(now time.Time) {
	longest := idleTimeout
	if a.forward.AvoidStaleConn {
		longest = freshWithin
	}
	c := a.pool.take(a, now, a.end.Add(lateAnswer), longest)
	if c == nil {
		a.fresh = true
		a.client.wg.Add(1)
		go a.run()
		return
	}
	if !a.own(c) {
		c.fail(errCancelled)
		return
	}
	if len(a.exchange.Body) > inlineBody {
		w := &writer{call: a, conn: c}
		go w.run()
		return
	}
	a.write(c)
}

// errCancelled ends a connection whose call was cancelled before it was used.
var errCancelled = errors.New("cancelled")

// writer sends a long request beside the loop, which must not block.
type writer struct {
	call *call
	conn *conn
}

func (w *writer) run() { w.call.write(w.conn) }

// run makes a connection, sends the request and reads the connection from then on.
func (a *call) run() {
	raw, err := a.client.dial(a.pool.addr, min(dialTimeout, a.forward.Timeout))
	if err != nil {
		a.client.wg.Done()
		a.fail(model.FailedRefused)
		return
	}
	c := newConn(raw, a.client, a.pool)
	if !c.begin(a, a.end.Add(lateAnswer)) || !a.own(c) {
		c.end()
		a.client.wg.Done()
		a.fail(model.FailedCancelled)
		return
	}
	a.write(c)
	c.run()
}

// write sends the request. The reader of the connection notices a failure.
func (a *call) write(c *conn) {
	a.exchange.once.Do(func() { a.exchange.render(a.client.Dialect) })
	if _, err := c.Write(a.exchange.request(a.client.Dialect, a.end, a.forward.Upstream, a.forward.Portion)); err != nil {
		c.Close() // the reader of the connection ends the call
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

// cancel breaks the attempt off.
func (a *call) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	if a.conn != nil && !a.done {
		a.conn.Close()
	}
}

// finish posts the end of the attempt, once.
func (a *call) finish(end event.Body) {
	a.mu.Lock()
	first := !a.done
	a.done = true
	a.mu.Unlock()
	if first {
		a.client.ended(a.forward.Attempt)
		a.client.Post(end)
	}
}

// fail posts the end of the attempt without an answer.
func (a *call) fail(reason model.FailureReason) {
	a.mu.Lock()
	sent := a.conn != nil
	a.mu.Unlock()
	ran := model.RanNo
	if sent {
		ran = model.RanUnknown
	}
	a.finish(event.AttemptFailed{Attempt: a.forward.Attempt, Reason: reason, Ran: ran, NewConn: a.fresh})
}

// reason turns an error of a connection into a reason.
func (a *call) reason(err error) model.FailureReason {
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

// read reads the answer, which is complete when there is no error. Keep is how
// long the connection may stay idle, 0 when it must not be used again.
func (a *call) read(c *conn) (end event.Body, keep time.Duration, err error) {
	response, err := a.response(c)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	if a.forward.Portion != nil {
		end, err = a.gathered(response)
		if !response.Close && c.reader.Buffered() == 0 {
			keep = a.keepFor(response.Header)
		}
		return end, keep, err
	}
	body, err := readBody(response)
	if err != nil {
		return nil, 0, fmt.Errorf("body: %w", err)
	}
	if !response.Close && c.reader.Buffered() == 0 {
		keep = a.keepFor(response.Header)
	}
	d := a.client.Dialect
	tag := response.Header.Get(d.Tag)
	switch {
	case len(body) > maxAnswer:
		return nil, 0, &AnswerError{Problem: "is too long"}
	case tag != "" && tag != a.exchange.Tag:
		return nil, 0, &AnswerError{Problem: "belongs to another request"}
	case response.Header.Get("Content-Encoding") != "":
		return nil, 0, &AnswerError{Problem: "is encoded"}
	}
	returned := event.ResponseReceived{
		Attempt: a.forward.Attempt, Receipt: response.Header.Get(d.Receipt), ClosesConn: response.Close,
		NotRun: response.Header.Get(d.NotRun) != "", WrongUpstream: response.StatusCode == http.StatusMisdirectedRequest,
		RetryAfter: heads.After(response.Header), Load: heads.Load(response.Header.Get(d.Load)), NewConn: a.fresh,
		Response: model.Response{Status: response.StatusCode, Body: body},
	}
	if !a.forward.BodyOnly {
		returned.Response.Headers = replyHeaders(response.Header)
	}
	return returned, keep, nil
}

// gathered reads another VM's answer to a portion, of which all frames but the
// last are posted. A refusal states that nothing of it was run.
func (a *call) gathered(response *http.Response) (end event.Body, err error) {
	if response.StatusCode != http.StatusOK {
		_, err = readBody(response)
		return event.AttemptFailed{Attempt: a.forward.Attempt, Reason: model.FailedShed, Ran: model.RanNo, NewConn: a.fresh}, err
	}
	body := bufio.NewReader(io.LimitReader(response.Body, maxAnswer))
	decoder := msgpack.NewDecoder(body)
	for {
		var f piecesFrame
		if err := decoder.Decode(&f); err != nil {
			return nil, fmt.Errorf("frame of a portion: %w", err)
		}
		g := event.PortionResult{Attempt: a.forward.Attempt, Results: f.Pieces, Records: f.Records, More: f.More}
		if !f.More {
			_, err := io.Copy(io.Discard, body) // up to the end of the last chunk, so that the connection can be used again
			return g, err
		}
		a.mu.Lock()
		over := a.done
		a.mu.Unlock()
		if !over {
			a.client.Post(g)
		}
	}
}

// readBody reads a body up to maxAnswer and one byte more.
func readBody(response *http.Response) (body []byte, err error) {
	if n := response.ContentLength; n >= 0 && n <= maxAnswer {
		body = make([]byte, n)
		_, err = io.ReadFull(response.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
}

// replyHeaders lists the headers that are passed to the caller.
func replyHeaders(h http.Header) []model.Header {
	var list []model.Header
	for name, values := range passing(h) {
		for _, value := range values {
			if name != "Content-Length" && name != "Date" {
				list = append(list, model.Header{Name: name, Value: value})
			}
		}
	}
	return list
}

// response reads the header of the answer, past interim ones.
func (a *call) response(c *conn) (*http.Response, error) {
	request := &http.Request{Method: a.exchange.Method}
	for {
		response, err := http.ReadResponse(c.reader, request)
		var network interface{ Timeout() bool }
		switch {
		case err != nil && (errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.As(err, &network)):
			return nil, err
		case err != nil:
			return nil, &AnswerError{Problem: err.Error()}
		case response.StatusCode >= 200:
			return response, nil
		}
	}
}

// keepFor returns how long the connection may stay idle.
func (a *call) keepFor(h http.Header) time.Duration {
	longest := idleTimeout
	if a.forward.IdleTimeout > 0 {
		longest = min(longest, a.forward.IdleTimeout)
	}
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(longest, max(shortestIdle, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
	return longest
}
