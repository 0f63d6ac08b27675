package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is one client attempt.
type call struct {
	id     string
	at     time.Time
	entry  string
	method string
	path   string
	kept   bool // sent on a connection that had been used before
	status int  // 0 without a complete answer
	reset  bool // the connection ended without a complete answer before the client's time limit
	took   time.Duration
}

// calls collects the clients' attempts.
type calls struct {
	mu   sync.Mutex
	list []call
}

func (c *calls) add(e call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, e)
}

func (c *calls) all() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call{}, c.list...)
}

// client sends requests to one entry machine, one after another, on a kept connection.
type client struct {
	play   *play
	entry  *machine
	method string
	path   string
	body   []byte
	wait   time.Duration
	gap    time.Duration
	calls  *calls

	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	defer c.drop()
	for ctx.Err() == nil {
		c.send()
		c.play.sleep(c.gap)
	}
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.used = nil, false
}

// send sends one request.
func (c *client) send() {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.entry.ip, frontPort), time.Second)
		if err != nil {
			c.play.sleep(100 * time.Millisecond)
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	e := call{id: fmt.Sprintf("%016x", rand.Uint64()), at: time.Now(), entry: c.entry.ip, method: c.method, path: c.path, kept: c.used}
	c.used = true
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n", c.method, c.path, words["id"], e.id, words["wait"], c.wait.Milliseconds())
	if len(c.body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	b.Write(c.body)
	_ = c.conn.SetDeadline(e.at.Add(c.wait))
	_, err := c.conn.Write(b.Bytes())
	closes := true
	if err == nil {
		e.status, closes, err = c.read()
	}
	e.took = time.Since(e.at)
	e.reset = err != nil && e.took < c.wait
	c.calls.add(e)
	c.play.record.detail("client: %s %s to %s id %s kept %t: status %d after %d ms, error %v", e.method, e.path, e.entry, e.id, e.kept, e.status, e.took.Milliseconds(), err)
	if err != nil || closes {
		c.drop()
	}
}

// read reads one answer. It returns status 0 when that is not complete.
func (c *client) read() (status int, closes bool, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, true, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, true, err
	}
	return response.StatusCode, response.Close, nil
}
