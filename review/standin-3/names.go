package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Sizes of the case: the sets of shards of the grown installations.
const (
	firstSet  = 36
	secondSet = 54
)

// playNames changes the manifest so that two routes, whose places differ, have one name.
func playNames(p *play) (broken bool, err error) {
	f, err := newFleet(p, 3, 3)
	if err != nil {
		return false, err
	}
	arrived, sent := &arrivals{}, &calls{}
	var first, second []string
	var backends []*backend
	add := func(service string, work time.Duration) error {
		n := len(backends)
		b := &backend{
			id: fmt.Sprintf("i-%04x", n), service: service, zone: zones[n%len(zones)], addr: fmt.Sprintf("127.%d.8.%d:%d", f.network, n+1, backendPort),
			slots: 4, work: work, bodyRecords: 4, arrivals: arrived, record: p.record,
		}
		backends = append(backends, b)
		return b.start()
	}
	for n := range firstSet {
		first = append(first, fmt.Sprintf("board%d", n))
		if err := add(first[n], 4*time.Millisecond); err != nil {
			return false, err
		}
	}
	for n := range secondSet {
		second = append(second, fmt.Sprintf("author%d", n))
		if err := add(second[n], 4*time.Millisecond); err != nil {
			return false, err
		}
	}
	for range 3 {
		if err := add("archive", 90*time.Millisecond); err != nil {
			return false, err
		}
	}
	if _, err := startLister(f.listAddr(), func() [][]byte {
		var list [][]byte
		for _, b := range backends {
			list = append(list, b.entry())
		}
		return list
	}, nil); err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	sweep := func(name, prefix string, shards []string) object {
		return object{
			"name": name, "host": "h.example", "path_prefix": prefix, "kind": "safe", "timeout_ms": 600, "target_latency_ms": 100, "priority": 1,
			"shards": shards, "max_attempts": 2, "top_k": 50, "min_coverage": 0.95,
		}
	}
	fetch := object{
		"name": "notice-fetch", "host": "h.example", "path_prefix": "/fetch/", "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2,
		"service": "archive", "max_attempts": 2,
	}
	all := services(append(append([]string{"archive"}, first...), second...))
	if err := p.putManifest(manifest(1, []object{sweep("route-sweep", "/sweep/", first), sweep("route-sweep-new", "/sweep/new/", second), fetch}, all)); err != nil {
		return false, err
	}
	p.sleep(5 * time.Second) // the core is stable and all machines are in touch
	ctx, cancel := context.WithCancel(p.ctx)
	var wg sync.WaitGroup
	for _, m := range f.entries {
		start := func(path string, n int, wait, gap time.Duration) {
			for range n {
				wg.Add(1)
				go (&client{play: p, entry: m, method: "GET", path: path, wait: wait, gap: gap, calls: sent}).run(ctx, &wg)
			}
		}
		start("/fetch/2f", 6, 2*time.Second, 5*time.Millisecond)
		start("/sweep/2f", 1, 600*time.Millisecond, 200*time.Millisecond)
		start("/sweep/new/2f", 4, 600*time.Millisecond, 60*time.Millisecond)
	}
	p.sleep(5 * time.Second)
	name := "route-sweep"
	if !p.trouble {
		name = "route-sweep-new"
	}
	p.record.line("operator: in version 2 the route of /sweep/new/ has the name %q; in version 1 it had \"route-sweep-new\"", name)
	if err := p.putManifest(manifest(2, []object{sweep("route-sweep", "/sweep/", first), sweep(name, "/sweep/new/", second), fetch}, all)); err != nil {
		cancel()
		wg.Wait()
		return false, err
	}
	p.sleep(12 * time.Second)
	cancel()
	wg.Wait()
	return judgeNames(p, sent.all(), arrived.all()), nil
}

// judgeNames counts the requests of kept connections that reached a backend and whose
// connection the machine closed without an answer.
func judgeNames(p *play, sent []call, arrived []arrival) bool {
	ran := make(map[string]bool)
	for _, a := range arrived {
		if a.ran {
			ran[a.id] = true
		}
	}
	lost, ended := make(map[string]int), 0
	broken := false
	served := 0
	for _, c := range sent {
		if c.status == 200 {
			served++
		}
		if c.kept && c.reset && ran[c.id] {
			lost[c.entry]++
		}
	}
	for _, m := range p.fleet.entries {
		p.record.line("entry %s: %d requests of kept connections were passed on and their connection was closed without an answer; %d processes ended by themselves", m.ip, lost[m.ip], m.selfEnded())
		broken = broken || lost[m.ip] > 3
		ended += m.selfEnded()
	}
	p.record.line("clients: %d requests, %d served; %d processes ended by themselves", len(sent), served, ended)
	return broken
}
