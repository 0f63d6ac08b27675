package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"comfreypulley/core/soak"
	"comfreypulley/io/stub"
)

// How callers behave.
const (
	minPause         = 40 * time.Millisecond // between two requests of a caller; up to pauseRange is added at random
	pauseRange       = 80 * time.Millisecond
	idlePause        = 2 * time.Second // at times, so that connections become idle
	dialTimeout      = time.Second
	redialDelay      = 50 * time.Millisecond
	earlyLeaveWithin = 150 * time.Millisecond // of a caller that disconnects before its wait is over
	writeBodySize    = 700                    // bytes of a Write request
	idleOdds         = 40                     // one pause in this many is an idlePause
	limitedOdds      = 4                      // one Fetch request in this many is of the team with a limit
	leaveOdds        = 6                      // one request in this many is left early
	askedChanges     = 4                      // changes whose routes Added requests use; the route of the oldest no longer exists
)

// waits are the times that callers are willing to wait, by request class. A second
// one exceeds the timeout of the route.
var waits = map[soak.RequestClass][]time.Duration{
	soak.Sweep: {600 * time.Millisecond},
	soak.Fetch: {400 * time.Millisecond, 2500 * time.Millisecond},
	soak.Write: {1500 * time.Millisecond},
	soak.Move:  {400 * time.Millisecond},
	soak.Added: {400 * time.Millisecond},
}

// caller sends requests to one entry VM, one after the other on one connection. It
// reconnects when the connection breaks.
type caller struct {
	soak         *Soak
	vm           *vm
	number       int // among the VM's callers
	random       *rand.Rand
	requestCount int
	conn         net.Conn // nil when there is none
	reader       *bufio.Reader
}

func (c *caller) run() {
	defer c.soak.traffic.Done()
	defer c.closeConn()
	for c.soak.ctx.Err() == nil {
		if !c.connect() {
			c.pause(redialDelay)
			continue
		}
		c.sendRequest()
		pause := minPause + time.Duration(c.random.Int64N(int64(pauseRange)))
		if c.random.IntN(idleOdds) == 0 {
			pause = idlePause
		}
		c.pause(pause)
	}
}

func (c *caller) pause(period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.soak.ctx.Done():
	}
}

// connect connects unless a connection is open. It reports whether one is.
func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(c.soak.ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.vm.callerProxy.Addr().String())
	if err != nil {
		return false // the VM may be down; the caller tries again
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// closeConn closes the connection, if any.
func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close() // an error has no consequence
		c.conn = nil
	}
}

// sendRequest sends one request and posts its outcome.
func (c *caller) sendRequest() {
	c.requestCount++
	r := soak.Request{
		ID: fmt.Sprintf("%d-%d-%d", c.vm.number, c.number, c.requestCount), VM: c.vm.number,
		Class: soak.RequestClass(c.random.IntN(int(soak.Added) + 1)), Change: max(0, int(c.soak.usableChanges.Load())-1-c.random.IntN(askedChanges)),
	}
	r.Team = c.team(r.Class)
	r.Wait = waits[r.Class][c.random.IntN(len(waits[r.Class]))]
	method, body := http.MethodGet, []byte(nil)
	if r.Class == soak.Write {
		method, body = http.MethodPost, bytes.Repeat([]byte(r.ID[:1]), writeBodySize)
	}
	uri := soak.Path(r.Class, r.Change, r.ID)
	r.Digest, r.At = stub.HashRequest(method, uri, body), time.Now()
	leaveAfter := r.Wait
	if c.random.IntN(leaveOdds) == 0 {
		leaveAfter = time.Duration(c.random.Int64N(int64(earlyLeaveWithin)))
	}
	c.soak.post(soak.RequestSent{Request: r})
	err := c.conn.SetDeadline(r.At.Add(leaveAfter))
	if err == nil {
		_, err = c.conn.Write(c.encodeRequest(&r, method, uri, body))
	}
	answer := soak.AnswerReceived{RequestID: r.ID}
	if err == nil {
		err = c.readAnswer(&answer, method)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.closeConn()
		c.soak.post(soak.CallerDisconnected{RequestID: r.ID})
		return
	case err != nil:
		answer.ConnError = err.Error()
		c.closeConn()
	}
	c.soak.post(answer)
}

// team draws the team of a request.
func (c *caller) team(class soak.RequestClass) soak.Team {
	switch {
	case class == soak.Move:
		return soak.NoTeam
	case class == soak.Added:
		return soak.AddedTeam
	case class == soak.Fetch && c.random.IntN(limitedOdds) == 0:
		return soak.LimitedTeam
	default:
		return soak.OpenTeam
	}
}

// encodeRequest returns the bytes of an HTTP request.
func (c *caller) encodeRequest(r *soak.Request, method, uri string, body []byte) []byte {
	d := c.soak.Platform.HeaderNames()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, uri, soak.Domain, d.RequestID, r.ID, d.Wait, r.Wait.Milliseconds())
	if key := r.Key(); key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", key)
	}
	if len(body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// readAnswer reads the response to a request.
func (c *caller) readAnswer(a *soak.AnswerReceived, method string) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	d := c.soak.Platform.HeaderNames()
	if a.Body, err = io.ReadAll(response.Body); err != nil {
		return err
	}
	a.Status, a.EchoedID, a.ExtraBytes = response.StatusCode, response.Header.Get(d.RequestID), c.reader.Buffered()
	for _, list := range append(response.Header.Values(d.Receipts), response.Header.Values(d.Receipt)...) {
		for id := range strings.SplitSeq(list, ",") {
			a.Receipts = append(a.Receipts, strings.TrimSpace(id))
		}
	}
	if text := response.Header.Get(d.MissingShards); text != "" {
		if a.MissingShards, err = strconv.Atoi(text); err != nil {
			a.MissingShards = -1 // fits no set of shards, so the answer becomes a finding
		}
	}
	if response.Close {
		c.closeConn()
	}
	return nil
}

// startTraffic starts the callers of each entry VM and the document readers of the
// other VMs.
func (s *Soak) startTraffic() {
	for _, v := range s.vms {
		random := rand.New(rand.NewPCG(s.Seed, uint64(v.number)))
		if v.callerProxy == nil {
			s.traffic.Add(1)
			go (&documentReader{soak: s, vm: v, random: random}).run()
			continue
		}
		for n := range callersPerVM {
			s.traffic.Add(1)
			c := &caller{soak: s, vm: v, number: n, random: rand.New(rand.NewPCG(s.Seed, uint64(v.number*callersPerVM+n)))}
			go c.run()
		}
	}
}
