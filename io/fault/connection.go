package fault

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// link is one connection through a proxy.
type link struct {
	proxy  *Proxy
	client *net.TCPConn
	source netip.Addr
	skew   time.Duration
	broken chan struct{} // closed by reset

	mu     sync.Mutex
	target *net.TCPConn // nil before it is dialled
	over   bool
}

// run connects to the target once the partition is lifted and forwards both
// directions until both have ended.
func (l *link) run() {
	defer l.proxy.ended(l)
	if !l.await(func(r *Rules) bool { return !r.Cut }) || !l.dial() {
		return
	}
	var wg sync.WaitGroup
	ups, downs := make(chan delivery, queued), make(chan delivery, queued)
	wg.Go((&reader{link: l, from: l.client, queue: ups}).loop)
	wg.Go((&writer{link: l, to: l.target, direction: up, queue: ups}).loop)
	wg.Go((&reader{link: l, from: l.target, queue: downs}).loop)
	wg.Go((&writer{link: l, to: l.client, direction: down, queue: downs}).loop)
	wg.Wait()
}

// dial connects to the target.
func (l *link) dial() bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", l.proxy.target.String())
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = conn.(*net.TCPConn)
	if l.over {
		closeHard(l.target)
		return false
	}
	return true
}

// reset closes both sides, so that each sees a reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	l.over = true
	close(l.broken)
	closeHard(l.client)
	if l.target != nil {
		closeHard(l.target)
	}
}

func closeHard(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// await waits until the rules meet a condition and reports false when the link
// breaks first.
func (l *link) await(met func(*Rules) bool) bool {
	for {
		rules, changed := l.proxy.current()
		rules = rules.from(l.source)
		if met(&rules) {
			return true
		}
		select {
		case <-changed:
		case <-l.broken:
			return false
		}
	}
}

// until waits for a time and reports false when the link breaks first.
func (l *link) until(at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.broken:
		return false
	}
}
