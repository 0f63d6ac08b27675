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
	leastPause  = 40 * time.Millisecond // between two requests of a caller
	pauseSpread = 80 * time.Millisecond
	longPause   = 2 * time.Second // now and then, so that connections lie idle
	dialTimeout = time.Second
	retryDial   = 50 * time.Millisecond
	impatient   = 150 * time.Millisecond // within which a caller may leave early
	bodySize    = 700                    // bytes, of a Write
	idleOdds    = 40                     // one pause in so many is a long one
	leaveOdds   = 6                      // one request in so many is left early
	oldChanges  = 4                      // routes of so many changes are asked for, the last one of which is gone
)

// waits are how long callers wait, by class. The second one of a class is
// beyond the timeout of its route.
var waits = map[soak.Class][]time.Duration{
	soak.Sweep: {600 * time.Millisecond},
	soak.Fetch: {400 * time.Millisecond, 2500 * time.Millisecond},
	soak.Write: {1500 * time.Millisecond},
	soak.Move:  {400 * time.Millisecond},
	soak.Added: {400 * time.Millisecond},
}

// caller sends requests to one entry VM, on a connection that it keeps as long
// as it works.
type caller struct {
	soak   *Soak
	vm     *vm
	number int
	random *rand.Rand
	sent   int
	conn   net.Conn // nil when there is none
	reader *bufio.Reader
}

func (c *caller) run() {
	defer c.soak.traffic.Done()
	defer c.drop()
	for c.soak.ctx.Err() == nil {
		if !c.connect() {
			c.pause(retryDial)
			continue
		}
		c.exchange()
		pause := leastPause + time.Duration(c.random.Int64N(int64(pauseSpread)))
		if c.random.IntN(idleOdds) == 0 {
			pause = longPause
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

func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(c.soak.ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.vm.callers.Addr().String())
	if err != nil {
		return false // the VM is down; the caller tries again
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// drop closes the connection.
func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing more is expected of it
		c.conn = nil
	}
}

// exchange sends one request and reports what came of it.
func (c *caller) exchange() {
	c.sent++
	r := soak.Request{
		Tag: fmt.Sprintf("%d-%d-%d", c.vm.number, c.number, c.sent), Entry: c.vm.number,
		Class: soak.Class(c.random.IntN(int(soak.Added) + 1)), Change: max(0, int(c.soak.newest.Load())-1-c.random.IntN(oldChanges)),
	}
	r.Wait = waits[r.Class][c.random.IntN(len(waits[r.Class]))]
	method, body := http.MethodGet, []byte(nil)
	if r.Class == soak.Write {
		method, body = http.MethodPost, bytes.Repeat([]byte(r.Tag[:1]), bodySize)
	}
	uri := soak.Path(r.Class, r.Change, r.Tag)
	r.Digest, r.At = stub.HashRequest(method, uri, body), time.Now()
	stay := r.Wait
	if c.random.IntN(leaveOdds) == 0 {
		stay = time.Duration(c.random.Int64N(int64(impatient)))
	}
	c.soak.post(soak.Sent{Request: r})
	err := c.conn.SetDeadline(r.At.Add(stay))
	if err == nil {
		_, err = c.conn.Write(c.render(&r, method, uri, body))
	}
	answer := soak.Answered{Tag: r.Tag}
	if err == nil {
		err = c.read(&answer, method)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.drop()
		c.soak.post(soak.Left{Tag: r.Tag})
		return
	case err != nil:
		answer.Broken = err.Error()
		c.drop()
	}
	c.soak.post(answer)
}

func (c *caller) render(r *soak.Request, method, uri string, body []byte) []byte {
	d := c.soak.Rig.HeaderNames()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, uri, soak.Domain, d.RequestID, r.Tag, d.Wait, r.Wait.Milliseconds())
	if len(body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// read reads an answer.
func (c *caller) read(a *soak.Answered, method string) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	d := c.soak.Rig.HeaderNames()
	if a.Body, err = io.ReadAll(response.Body); err != nil {
		return err
	}
	a.Status, a.Echo, a.Surplus = response.StatusCode, response.Header.Get(d.RequestID), c.reader.Buffered()
	for _, list := range append(response.Header.Values(d.Receipts), response.Header.Values(d.Receipt)...) {
		for id := range strings.SplitSeq(list, ",") {
			a.Receipts = append(a.Receipts, strings.TrimSpace(id))
		}
	}
	if text := response.Header.Get(d.MissingShards); text != "" {
		if a.Missing, err = strconv.Atoi(text); err != nil {
			a.Missing = -1 // fits no set of shards, so that the answer is found wrong
		}
	}
	if response.Close {
		c.drop()
	}
	return nil
}

// startTraffic starts callers and readers.
func (s *Soak) startTraffic() {
	for _, v := range s.vms {
		random := rand.New(rand.NewPCG(s.Seed, uint64(v.number)))
		if v.callers == nil {
			s.traffic.Add(1)
			go (&reader{soak: s, vm: v, random: random}).run()
			continue
		}
		for n := range callers {
			s.traffic.Add(1)
			c := &caller{soak: s, vm: v, number: n, random: rand.New(rand.NewPCG(s.Seed, uint64(v.number*callers+n)))}
			go c.run()
		}
	}
}
