package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// upload: an entry machine gets SIGTERM while clients send bodies over slow links
// on connections that they have kept.
func upload(f *fleet) (broken bool, err error) {
	const (
		clients   = 120
		cycle     = 6 * time.Second // from a client's request to its next one
		sendFor   = 1200 * time.Millisecond
		work      = 250 * time.Millisecond
		grace     = 6 * time.Second
		lossSlack = 200 * time.Millisecond
		deadline  = 3 * time.Second
		termAt    = 9 * time.Second // after the start of traffic
		trafficT  = 18 * time.Second
	)
	var backends []*backend
	for n := range 3 {
		b, err := f.startBackend("archive", n, 21+n, 24, work)
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	f.listed = func() (all []map[string]any) {
		for _, b := range backends {
			all = append(all, b.entry())
		}
		return all
	}
	f.serveList()
	for n, zone := range []string{"za", "zb", "zc"} {
		f.addMachine("control", zone, 101+n, true)
	}
	entries := []*machine{f.addMachine("entry", "za", 111, true), f.addMachine("entry", "zb", 112, true)}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	if err := f.put(readPage("upload.json"), 20*time.Second); err != nil {
		return false, err
	}
	for _, m := range entries {
		if err := f.waitReady(m, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)

	target := entries[0]
	begin := time.Now()
	var mu sync.Mutex
	next, total, answered := 0, 0, 0
	type lost struct {
		id        string
		passedOn  bool
		afterLast time.Duration
	}
	type pending struct {
		id         string
		sent, last time.Time
		ended      time.Time
	}
	var cut []pending
	var term time.Time
	body := bytes.Repeat([]byte("0123456789"), 2000)
	const pieces = 12

	// one sends a request with its body in pieces and waits for the answer.
	one := func(c *clientConn, n int) bool {
		mu.Lock()
		next++
		total++
		id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(next))
		mu.Unlock()
		p := pending{id: id, sent: time.Now()}
		_ = c.conn.SetDeadline(p.sent.Add(deadline))
		head := fmt.Sprintf("POST /store/%d HTTP/1.1\r\nHost: archive.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
			n, names["id"], id, names["deadline"], deadline.Milliseconds(), len(body))
		_, err := io.WriteString(c.conn, head)
		for k := 0; k < pieces && err == nil; k++ {
			size := len(body) / pieces
			part := body[k*size : (k+1)*size]
			if k == pieces-1 {
				part = body[k*size:]
			}
			time.Sleep(time.Until(p.sent.Add(time.Duration(k+1) * sendFor / pieces)))
			_, err = c.conn.Write(part)
		}
		p.last = time.Now()
		whole := err == nil
		if err == nil {
			var resp *http.Response
			resp, err = http.ReadResponse(c.r, &http.Request{Method: "POST"})
			if err == nil {
				var text []byte
				text, err = io.ReadAll(resp.Body)
				resp.Body.Close()
				if err == nil {
					f.log("client %d: id %s to %s: status %d %q, %d ms after its last byte", n, id, target.name, resp.StatusCode, bytes.TrimSpace(text), time.Since(p.last).Milliseconds())
					mu.Lock()
					answered++
					mu.Unlock()
					return !resp.Close
				}
			}
		}
		p.ended = time.Now()
		f.log("client %d: id %s to %s: no answer, whole request sent %v, %d ms after its last byte: %v", n, id, target.name, whole, p.ended.Sub(p.last).Milliseconds(), err)
		if whole && p.ended.Sub(p.sent) < deadline-50*time.Millisecond {
			mu.Lock()
			cut = append(cut, p)
			mu.Unlock()
		}
		return false
	}
	var wg sync.WaitGroup
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *clientConn
			for k := 0; ; k++ {
				at := begin.Add(time.Duration(n)*cycle/clients + time.Duration(k)*cycle)
				if at.Sub(begin) > trafficT {
					return
				}
				time.Sleep(time.Until(at))
				if c == nil {
					mu.Lock()
					stopped := !term.IsZero()
					mu.Unlock()
					if stopped {
						return // the provider sends new connections to another machine
					}
					var err error
					if c, err = dialFront(target); err != nil {
						f.log("client %d: %v", n, err)
						continue
					}
				}
				if !one(c, n) {
					c.conn.Close()
					c = nil
				}
			}
		}()
	}
	time.Sleep(time.Until(begin.Add(termAt)))
	if f.trouble {
		mu.Lock()
		term = time.Now()
		mu.Unlock()
		target.signal(syscall.SIGTERM)
		select {
		case <-target.done:
		case <-time.After(grace):
			target.signal(syscall.SIGKILL)
		}
		f.log("%s ended %v after SIGTERM", target.name, time.Since(term).Round(time.Millisecond))
	}
	wg.Wait()

	// LOST: the process has read a whole request and the connection ends without a
	// complete answer, either once it has been passed on to a backend, or later
	// than loss_slack_ms after its last byte was sent.
	passed := func(id string) (n int) {
		for _, b := range backends {
			b.mu.Lock()
			n += b.run[id]
			b.mu.Unlock()
		}
		return n
	}
	var losses []lost
	for _, p := range cut {
		l := lost{id: p.id, passedOn: passed(p.id) > 0, afterLast: p.ended.Sub(p.last)}
		sinceTerm := p.sent.Sub(term)
		// Not counted: the backend was still at work in the last sixth of grace_s on
		// a request that was sent no later than 3 s after the SIGTERM.
		if l.passedOn && sinceTerm <= 3*time.Second {
			f.log("not counted: id %s, sent %v after SIGTERM", p.id, sinceTerm)
			continue
		}
		if !l.passedOn && l.afterLast <= lossSlack {
			f.log("not counted: id %s, not passed on, ended %v after its last byte", p.id, l.afterLast)
			continue
		}
		f.log("LOST: id %s, sent %v after SIGTERM, last byte %v after it, connection ended %v after it; passed on to a backend: %v",
			p.id, sinceTerm.Round(time.Millisecond), p.last.Sub(term).Round(time.Millisecond), p.ended.Sub(term).Round(time.Millisecond), l.passedOn)
		losses = append(losses, l)
	}
	n := 0
	for _, l := range losses {
		if l.passedOn {
			n++
		}
	}
	text := fmt.Sprintf("requests %d; answered %d; whole requests without an answer that count %d, of these passed on to a backend %d", total, answered, len(losses), n)
	f.log("%s", text)
	fmt.Println(text)
	return len(losses) > 0, nil
}
