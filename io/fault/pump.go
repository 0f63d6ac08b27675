package fault

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	queued    = 64       // deliveries on their way in one direction
	chunkSize = 16 << 10 // bytes of one delivery at most
)

// delivery is what one read returned. The end of the stream has no bytes.
type delivery struct {
	at    time.Time
	bytes []byte
	reset bool // the sender reset the connection
}

// pump carries the bytes of one direction of a link.
type pump struct {
	link      *link
	from, to  *net.TCPConn
	direction direction
	queue     chan delivery
	lost      bool
}

// readLoop notes when bytes arrive.
func (p *pump) readLoop() {
	defer close(p.queue)
	for {
		chunk := make([]byte, chunkSize)
		n, err := p.from.Read(chunk)
		if n > 0 && !p.enqueue(delivery{at: time.Now(), bytes: chunk[:n]}) {
			return
		}
		if errors.Is(err, io.EOF) {
			p.enqueue(delivery{at: time.Now()})
			return
		}
		if err != nil {
			// A reset does not cross a partition either.
			p.enqueue(delivery{at: time.Now(), reset: true})
			return
		}
	}
}

func (p *pump) enqueue(d delivery) bool {
	select {
	case p.queue <- d:
		return true
	case <-p.link.broken:
		return false
	}
}

// writeLoop delivers the bytes under the rules.
func (p *pump) writeLoop() {
	for d := range p.queue {
		if !p.deliver(d) {
			p.link.reset()
			return
		}
	}
}

// deliver reports false when the link is to be reset.
func (p *pump) deliver(d delivery) bool {
	l := p.link
	flow := p.flow()
	due := d.at.Add(flow.Delay + l.skew + l.proxy.jitter(flow.Jitter))
	if !l.until(due) {
		return false
	}
	if p.flow().Lose {
		p.lost = true
	}
	if p.lost {
		// The receiver never gets these bytes, so nothing after them can be
		// delivered either.
		l.await(func(r *Rules) bool { return !r.flow(p.direction).Lose })
		return false
	}
	if !l.await(func(r *Rules) bool { return !r.Cut && !r.flow(p.direction).Stall }) {
		return false
	}
	if d.reset {
		return false
	}
	if len(d.bytes) == 0 {
		return p.to.CloseWrite() == nil
	}
	return p.write(d.bytes, p.flow())
}

// write writes the bytes in pieces.
func (p *pump) write(bytes []byte, flow Flow) bool {
	pieces := max(1, min(flow.Pieces, len(bytes)))
	for n := range pieces {
		if n > 0 && !p.link.until(time.Now().Add(flow.Gap)) {
			return false
		}
		if _, err := p.to.Write(bytes[n*len(bytes)/pieces : (n+1)*len(bytes)/pieces]); err != nil {
			return false
		}
	}
	return true
}

func (p *pump) flow() Flow {
	rules := p.link.proxy.Rules()
	return rules.flow(p.direction)
}
