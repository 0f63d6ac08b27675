package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// idle: clients leave their connections open after their last request, and rely on
// the machine to close them at the idle timeout of the manifest.
func idle(f *fleet) (broken bool, err error) {
	const (
		perSecond   = 45 // new connections to the busier machine
		otherRate   = 10
		trafficT    = 82 * time.Second
		idleTimeout = 15 * time.Second
		timeout     = 600 * time.Millisecond // of the route
		deadline    = 2 * time.Second
	)
	f.maxFDs = 2870
	var backends []*backend
	for n := range 3 {
		b, err := f.startBackend("archive", n, 21+n, 12, 10*time.Millisecond)
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
	if err := f.put(readPage("idle.json"), 20*time.Second); err != nil {
		return false, err
	}
	for _, m := range entries {
		if err := f.waitReady(m, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)

	begin := time.Now()
	var mu sync.Mutex
	out := map[*machine]bool{} // of the provider's rotation
	// The provider asks each machine once a second; two misses take it out.
	for _, m := range entries {
		go func() {
			client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			misses := 0
			for time.Since(begin) < trafficT {
				ok := false
				resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort))
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					ok = resp.StatusCode == http.StatusOK
				}
				if misses++; ok {
					misses = 0
				} else {
					f.log("provider: %s is not ready: %v", m.name, err)
				}
				mu.Lock()
				out[m] = misses >= 2
				mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
	type seen struct {
		answer
		machine *machine
	}
	var all []seen
	next, notConnected, kept, most := 0, 0, 0, 0
	var wg sync.WaitGroup
	for k, m := range entries {
		rate := perSecond
		if k > 0 {
			rate = otherRate
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			tick := time.NewTicker(time.Second / time.Duration(rate))
			defer tick.Stop()
			for time.Since(begin) < trafficT {
				<-tick.C
				to := m
				mu.Lock()
				if other := entries[1-k]; out[m] && !out[other] {
					to = other
				}
				next++
				id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(next))
				mu.Unlock()
				wg.Add(1)
				go func() {
					defer wg.Done()
					c, err := dialFront(to)
					if err != nil {
						f.log("client: connection to %s: %v", to.name, err)
						mu.Lock()
						notConnected++
						mu.Unlock()
						return
					}
					a := c.do("POST", "archive.example", "/store/1", id, deadline, []byte("x"))
					f.log("client: id %s to %s: status %d after %d ms, error %v", id, to.name, a.status, a.took.Milliseconds(), a.err)
					mu.Lock()
					all = append(all, seen{a, to})
					mu.Unlock()
					if c.conn == nil {
						return
					}
					if a.err != nil {
						c.conn.Close()
						return
					}
					mu.Lock()
					kept++
					most = max(most, kept)
					mu.Unlock()
					go func() {
						limit := time.Time{}
						if !f.trouble {
							limit = time.Now().Add(idleTimeout * 4 / 5)
						}
						_ = c.conn.SetDeadline(limit)
						var b [1]byte
						_, _ = c.conn.Read(b[:]) // until the machine closes it
						c.conn.Close()
						mu.Lock()
						kept--
						mu.Unlock()
					}()
				}()
			}
		}()
	}
	wg.Wait()

	// CONFIG: of the requests still unanswered at their route's timeout_ms, more
	// than half have no answer half a second later.
	open, late := 0, 0
	for _, s := range all {
		if s.took < timeout {
			continue
		}
		open++
		if s.took >= timeout+500*time.Millisecond {
			late++
		}
	}
	ends := 0
	for _, m := range entries {
		ends += m.ends
	}
	text := fmt.Sprintf("requests %d, without a connection %d, most kept connections %d; unanswered at the timeout_ms of their route %d; of these without an answer 0.5 s later %d; processes that ended by themselves %d",
		next, notConnected, most, open, late, ends)
	f.log("%s", text)
	fmt.Println(text)
	return open >= 8 && 2*late > open, nil
}
