package fault

import (
	"net"
	"time"
)

// writer delivers the bytes of one direction of a link under the rules.
type writer struct {
	link      *link
	to        *net.TCPConn
	direction direction
	queue     <-chan delivery
	lost      bool
}

func (w *writer) loop() {
	for d := range w.queue {
		if !w.deliver(d) {
			w.link.reset()
			return
		}
	}
}

// deliver reports false when the link is to be reset.
func (w *writer) deliver(d delivery) bool {
	l := w.link
	flow := w.flow()
	if !l.until(d.at.Add(flow.Delay + l.skew + l.proxy.jitter(flow.Jitter))) {
		return false
	}
	if w.flow().Lose {
		w.lost = true
	}
	if w.lost {
		// The receiver never gets these bytes, so nothing after them can be
		// delivered either.
		l.await(func(r *Rules) bool { return !r.flow(w.direction).Lose })
		return false
	}
	if !l.await(func(r *Rules) bool { return !r.Cut && !r.flow(w.direction).Stall }) {
		return false
	}
	switch {
	case d.reset:
		return false
	case len(d.bytes) == 0:
		return w.to.CloseWrite() == nil
	default:
		return w.write(d.bytes, w.flow())
	}
}

// write writes the bytes in pieces.
func (w *writer) write(bytes []byte, flow Flow) bool {
	pieces := max(1, min(flow.Pieces, len(bytes)))
	for n := range pieces {
		if n > 0 && !w.link.until(time.Now().Add(flow.Gap)) {
			return false
		}
		if _, err := w.to.Write(bytes[n*len(bytes)/pieces : (n+1)*len(bytes)/pieces]); err != nil {
			return false
		}
	}
	return true
}

func (w *writer) flow() Flow {
	rules := w.link.proxy.Rules().from(w.link.source)
	return rules.flow(w.direction)
}
