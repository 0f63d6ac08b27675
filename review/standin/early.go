package main

import (
	"fmt"
	"sync"
	"time"
)

// early: servers reject some long requests before their bodies are in, keep the
// connections and read on later.
func early(f *fleet) (broken bool, err error) {
	const (
		troubleAt  = 8 * time.Second // after the start of traffic: more than stable_window_ms
		troubleFor = 5 * time.Second
		trafficFor = 20 * time.Second
	)
	var backends []*backend
	start := func(service string, n, last, slots int, work time.Duration) error {
		b, err := f.startBackend(service, n, last, slots, work)
		if err == nil {
			backends = append(backends, b)
		}
		return err
	}
	for n := range 2 {
		if err := start("archive", n, 21+n, 6, 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	for n := range 3 {
		if err := start("board", n, 31+n, 6, 5*time.Millisecond); err != nil {
			return false, err
		}
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
	if err := f.put(readPage("early.json"), 20*time.Second); err != nil {
		return false, err
	}
	for _, m := range entries {
		if err := f.waitReady(m, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)

	begin := time.Now()
	in := func(t time.Time) bool { d := t.Sub(begin); return d >= troubleAt && d < troubleAt+troubleFor }
	for _, b := range backends {
		if b.service != "archive" || !f.trouble {
			continue
		}
		var mu sync.Mutex
		rejected := 0
		b.rejectEarly = func(length int) (time.Duration, bool) {
			mu.Lock()
			defer mu.Unlock()
			if length < 64<<10 || !in(time.Now()) || rejected >= 3 {
				return 0, false
			}
			rejected++
			return 4 * time.Second, true
		}
	}

	var mu sync.Mutex
	type seen struct {
		answer
		machine *machine
		route   string
	}
	var all []seen
	next := 0
	var wg sync.WaitGroup
	// client sends requests one after another on a kept connection.
	client := func(m *machine, route, method, host, path string, pause, deadline time.Duration, body []byte) {
		defer wg.Done()
		var c *clientConn
		for time.Since(begin) < trafficFor {
			time.Sleep(pause)
			if c == nil || c.conn == nil {
				var err error
				if c, err = dialFront(m); err != nil {
					f.log("client: connection to %s: %v", m.name, err)
					continue
				}
			}
			mu.Lock()
			next++
			id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(next))
			mu.Unlock()
			a := c.do(method, host, path, id, deadline, body)
			f.log("client: %s %s to %s id %s: status %d after %d ms, error %v", method, path, m.name, id, a.status, a.took.Milliseconds(), a.err)
			mu.Lock()
			all = append(all, seen{a, m, route})
			mu.Unlock()
			if a.err != nil && c.conn != nil {
				c.conn.Close()
				c = nil
			}
		}
	}
	// steady sends requests at a steady rate, each on a connection that is free.
	steady := func(m *machine, route, host, path string, every, deadline time.Duration) {
		defer wg.Done()
		var free []*clientConn
		tick := time.NewTicker(every)
		defer tick.Stop()
		for time.Since(begin) < trafficFor {
			<-tick.C
			wg.Add(1)
			go func() {
				defer wg.Done()
				mu.Lock()
				var c *clientConn
				if n := len(free); n > 0 {
					c, free = free[n-1], free[:n-1]
				}
				next++
				id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(next))
				mu.Unlock()
				if c == nil {
					var err error
					if c, err = dialFront(m); err != nil {
						f.log("client: connection to %s: %v", m.name, err)
						return
					}
				}
				a := c.do("GET", host, path, id, deadline, nil)
				f.log("client: GET %s to %s id %s: status %d after %d ms, error %v", path, m.name, id, a.status, a.took.Milliseconds(), a.err)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, seen{a, m, route})
				switch {
				case c.conn == nil:
				case a.err != nil:
					c.conn.Close()
				default:
					free = append(free, c)
				}
			}()
		}
	}
	long := make([]byte, 1_000_000) // within max_body_bytes
	for i := range long {
		long[i] = byte('a' + i%23)
	}
	for _, m := range entries {
		wg.Add(1)
		go steady(m, "r-check", "board.example", "/check/1", 25*time.Millisecond, 2*time.Second)
		for k := range 6 {
			wg.Add(1)
			go client(m, "r-fetch", "GET", "archive.example", "/fetch/1", time.Duration(40+9*k)*time.Millisecond, 5*time.Second, nil)
		}
		// Long requests are rare here, and come from troubleAt on.
		for k := range 2 {
			wg.Add(1)
			go func() {
				time.Sleep(troubleAt + time.Duration(k)*333*time.Millisecond)
				client(m, "r-store", "POST", "archive.example", "/store/1", time.Second, 5*time.Second, long)
			}()
		}
	}
	wg.Wait()

	// CONFIG: of the requests still unanswered at their route's timeout_ms, more
	// than half have no answer half a second later.
	timeouts := map[string]time.Duration{"r-check": 600 * time.Millisecond, "r-fetch": 3 * time.Second, "r-store": 3 * time.Second}
	open, late, total := 0, 0, 0
	var longest time.Duration
	for _, s := range all {
		total++
		limit := timeouts[s.route]
		if s.route == "r-check" {
			longest = max(longest, s.took)
		}
		if s.took < limit {
			continue
		}
		open++
		if s.took >= limit+500*time.Millisecond {
			late++
		}
	}
	early := int64(0)
	for _, b := range backends {
		early += b.early.Load()
	}
	f.log("requests %d; rejected early %d; unanswered at the timeout_ms of their route %d; of these without an answer 0.5 s later %d; longest r-check %v",
		total, early, open, late, longest)
	fmt.Printf("requests %d; rejected early %d; unanswered at the timeout_ms of their route %d; of these without an answer 0.5 s later %d; longest r-check %v\n",
		total, early, open, late, longest)
	if f.trouble && early == 0 {
		return false, fmt.Errorf("no request was rejected early")
	}
	return open >= 8 && 2*late > open, nil
}
