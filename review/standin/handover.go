package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// dropFrom makes a socket drop all packets from an address; "" ends that.
func dropFrom(c syscall.Conn, ip string) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Control(func(fd uintptr) {
		if ip == "" {
			result = syscall.DetachLsf(int(fd))
			return
		}
		b := net.ParseIP(ip).To4()
		addr := int(uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3]))
		const netOff = -0x100000 // SKF_NET_OFF: from the IP header on
		result = syscall.AttachLsf(int(fd), []syscall.SockFilter{
			*syscall.LsfStmt(syscall.BPF_LD|syscall.BPF_W|syscall.BPF_ABS, netOff+12),
			*syscall.LsfJump(syscall.BPF_JMP|syscall.BPF_JEQ|syscall.BPF_K, addr, 0, 1),
			*syscall.LsfStmt(syscall.BPF_RET|syscall.BPF_K, 0),
			*syscall.LsfStmt(syscall.BPF_RET|syscall.BPF_K, 0x40000),
		})
	})
	if err != nil {
		return err
	}
	return result
}

// cutFrom cuts a backend off from one machine; "" joins it again.
func (b *backend) cutFrom(ip string) error {
	if err := dropFrom(b.listener.(*net.TCPListener), ip); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = dropFrom(c.(*net.TCPConn), ip) // fails on a closed connection
	}
	return nil
}

// handover: a machine is partitioned from all backends, and with one other also
// from the core, while the manifest changes.
func handover(f *fleet) (broken bool, err error) {
	const (
		cutAt    = 8 * time.Second // after the start of traffic
		cutFor   = 5500 * time.Millisecond
		putAt    = cutAt + 1500*time.Millisecond
		strandAt = cutAt
		strandT  = 8 * time.Second
		trafficT = 20 * time.Second
		slack    = 250 * time.Millisecond // rollback_slack_ms
	)
	var backends []*backend
	for s, service := range []string{"archive", "hub"} {
		for n := range 3 {
			b, err := f.startBackend(service, n, 21+10*s+n, 6, 20*time.Millisecond)
			if err != nil {
				return false, err
			}
			backends = append(backends, b)
		}
	}
	f.listed = func() (all []map[string]any) {
		for _, b := range backends {
			all = append(all, b.entry())
		}
		return all
	}
	f.serveList()
	f.forwarded = true
	zones := []string{"za", "zb", "zc"}
	var controls, entries []*machine
	for n, zone := range zones {
		controls = append(controls, f.addMachine("control", zone, 101+n, true))
	}
	for n := range 12 {
		entries = append(entries, f.addMachine("entry", zones[n/4], 111+n, true))
	}
	peers := map[*machine]*forwarder{}
	for _, m := range f.machines {
		if peers[m], err = startForwarder(m.ip, peerPort, forwardedPort); err != nil {
			return false, err
		}
		if m.role == "entry" {
			if _, err := startForwarder(m.ip, peerPort+1, forwardedPort+1); err != nil {
				return false, err
			}
		}
		if err := m.start(); err != nil {
			return false, err
		}
	}
	if err := f.put(readPage("handover-7.json"), 20*time.Second); err != nil {
		return false, err
	}
	for _, m := range entries {
		if err := f.waitReady(m, 15*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	stranded, lagging := entries[0], entries[1]

	type seen struct {
		answer
		machine *machine
	}
	var mu sync.Mutex
	var all []seen
	next := 0
	begin := time.Now()
	var wg sync.WaitGroup
	for _, m := range entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tick := time.NewTicker(100 * time.Millisecond)
			defer tick.Stop()
			for time.Since(begin) < trafficT {
				<-tick.C
				wg.Add(1)
				go func() {
					defer wg.Done()
					c, err := dialFront(m)
					if err != nil {
						f.log("client: connection to %s: %v", m.name, err)
						return
					}
					defer func() {
						if c.conn != nil {
							c.conn.Close()
						}
					}()
					mu.Lock()
					next++
					id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(next))
					mu.Unlock()
					a := c.do("GET", "archive.example", "/fetch/1", id, 2*time.Second, nil)
					f.log("client: id %s to %s: status %d after %d ms, error %v, stamp %s", id, m.name, a.status, a.took.Milliseconds(), a.err, a.stamp)
					mu.Lock()
					defer mu.Unlock()
					all = append(all, seen{a, m})
				}()
			}
		}()
	}
	cut := func(on bool) {
		for _, e := range []*machine{stranded, lagging} {
			for _, c := range controls {
				peers[e].hold(c.ip, on)
				peers[c].hold(e.ip, on)
			}
		}
		f.log("cut of %s and %s from the core: %v", stranded.name, lagging.name, on)
	}
	strand := func(ip string) error {
		for _, b := range backends {
			if err := b.cutFrom(ip); err != nil {
				return err
			}
		}
		f.log("partition of %s from all backends: %v", stranded.name, ip != "")
		return nil
	}
	if f.trouble {
		time.Sleep(time.Until(begin.Add(cutAt)))
		if err := strand(stranded.ip); err != nil {
			return false, err
		}
		cut(true)
		time.AfterFunc(cutFor, func() { cut(false) })
		time.AfterFunc(strandT, func() { _ = strand("") })
	}
	time.Sleep(time.Until(begin.Add(putAt)))
	if err := f.put(readPage("handover-8.json"), 5*time.Second); err != nil {
		return false, err
	}
	wg.Wait()

	// CONFIG: a machine regresses.
	ranAt := func(id, service string) (time.Time, bool) {
		for _, b := range backends {
			b.mu.Lock()
			at, ok := b.ranAt[id]
			b.mu.Unlock()
			if ok && b.service == service {
				return at, true
			}
		}
		return time.Time{}, false
	}
	regressions, of := 0, 0
	for _, m := range entries {
		var effect time.Time // when a backend first saw version 8 in a request of the machine
		for _, s := range all {
			if at, ok := ranAt(s.id, "hub"); ok && s.machine == m && (effect.IsZero() || at.Before(effect)) {
				effect = at
			}
		}
		if effect.IsZero() {
			continue
		}
		for _, s := range all {
			if s.machine != m || !s.sent.After(effect.Add(slack)) {
				continue
			}
			of++
			if _, ok := ranAt(s.id, "archive"); ok {
				regressions++
				f.log("CONFIG: id %s to %s, sent %v after a backend saw version 8 from this machine, ran as only version 7 allows", s.id, m.name, s.sent.Sub(effect).Round(time.Millisecond))
			}
		}
	}
	served := 0
	for _, s := range all {
		if s.status == 200 {
			served++
		}
	}
	text := fmt.Sprintf("requests %d, served %d; sent more than %v after a backend saw the new version from the same machine %d, of these handled as only the older version allows %d",
		len(all), served, slack, of, regressions)
	f.log("%s", text)
	fmt.Println(text)
	return regressions > 0, nil
}
