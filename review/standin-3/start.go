package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times of the case.
const (
	startSpread = 300 * time.Millisecond // within which all machines start
	backWithin  = 700 * time.Millisecond // until the killed processes are back
	waitForAck  = 60 * time.Second
	servedFor   = 5 * time.Second
)

// playStart kills the processes of the core at the same moment while the system starts for
// the first time. They come back with their disks.
func playStart(p *play) (broken bool, err error) {
	f, err := newFleet(p, 3, 2)
	if err != nil {
		return false, err
	}
	arrived, sent := &arrivals{}, &calls{}
	var backends []*backend
	for n := range 3 {
		b := &backend{
			id: fmt.Sprintf("i-%04x", n), service: "archive", zone: zones[n%len(zones)], addr: fmt.Sprintf("127.%d.8.%d:%d", f.network, n+1, backendPort),
			slots: 6, work: 90 * time.Millisecond, bodyRecords: 4, arrivals: arrived, record: p.record,
		}
		if err := b.start(); err != nil {
			return false, err
		}
		backends = append(backends, b)
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
	if err := f.startFirst(p.trouble); err != nil {
		return false, err
	}
	fetch := object{
		"name": "notice-fetch", "host": "h.example", "path_prefix": "/fetch/", "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2,
		"service": "archive", "max_attempts": 2,
	}
	begun := time.Now()
	outer := p.ctx
	ctx, cancel := context.WithTimeout(outer, waitForAck)
	p.ctx = ctx
	refused := p.putManifest(manifest(1, []object{fetch}, services([]string{"archive"})))
	cancel()
	p.ctx = outer
	acked := refused == nil
	p.record.line("operator: the first manifest has an ack: %t, after %.1f s", acked, time.Since(begun).Seconds())
	traffic, stop := context.WithTimeout(p.ctx, servedFor)
	defer stop()
	var wg sync.WaitGroup
	for _, m := range f.entries {
		wg.Add(1)
		go (&client{play: p, entry: m, method: "GET", path: "/fetch/2f", wait: 2 * time.Second, gap: 100 * time.Millisecond, calls: sent}).run(traffic, &wg)
	}
	wg.Wait()
	served := 0
	for _, c := range sent.all() {
		if c.status == http.StatusOK {
			served++
		}
	}
	p.record.line("clients: %d requests, %d served", len(sent.all()), served)
	return !acked && served == 0, nil
}

// startFirst starts the machines for the first time, the last one of the core 0.3 s after the
// others. With kill the processes of the core are killed then, and are back within a second.
func (f *fleet) startFirst(kill bool) error {
	last := f.controls[len(f.controls)-1]
	for _, m := range f.all() {
		if m != last {
			if err := m.start(); err != nil {
				return err
			}
		}
	}
	f.play.sleep(startSpread)
	if err := last.start(); err != nil {
		return err
	}
	f.bootstrap = false
	if kill {
		f.play.record.line("platform: all processes of the core are killed")
		for _, m := range f.controls {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, m := range f.controls {
			_ = m.cmd.Wait()
		}
		f.play.sleep(backWithin)
		for _, m := range f.controls {
			if err := m.start(); err != nil {
				return err
			}
		}
		f.play.record.line("platform: all processes of the core are back, with their disks")
	}
	for _, m := range f.all() {
		go m.watch()
	}
	return nil
}
