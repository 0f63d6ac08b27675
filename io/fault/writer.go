package fault

import (
	"net"
	"time"
)

// writer delivers the chunks of one direction of a connection under the rules.
type writer struct {
	conn      *connection
	to        *net.TCPConn
	direction direction
	queue     <-chan chunk
	dropping  bool // bytes were lost
}

func (w *writer) loop() {
	for received := range w.queue {
		if !w.deliver(received) {
			w.conn.reset()
			return
		}
	}
}

// deliver writes a chunk once the rules allow it. It reports false when the
// connection must be reset.
func (w *writer) deliver(received chunk) bool {
	c := w.conn
	flow := w.currentFlow()
	if !c.waitUntil(received.receivedAt.Add(flow.Delay + c.extraDelay + c.proxy.randomBelow(flow.Jitter))) {
		return false
	}
	if w.currentFlow().Lose {
		w.dropping = true
	}
	if w.dropping {
		// Later bytes cannot be delivered either, as the stream would have a gap.
		c.waitForRules(func(r *Rules) bool { return !r.flow(w.direction).Lose })
		return false
	}
	if !c.waitForRules(func(r *Rules) bool { return !r.Cut && !r.flow(w.direction).Stall }) {
		return false
	}
	switch {
	case received.reset:
		return false
	case len(received.bytes) == 0:
		return w.to.CloseWrite() == nil
	default:
		return w.writePieces(received.bytes, w.currentFlow())
	}
}

// writePieces writes bytes in as many pieces as the rules state.
func (w *writer) writePieces(bytes []byte, flow Flow) bool {
	pieces := max(1, min(flow.Pieces, len(bytes)))
	for n := range pieces {
		if n > 0 && !w.conn.waitUntil(time.Now().Add(flow.Gap)) {
			return false
		}
		if _, err := w.to.Write(bytes[n*len(bytes)/pieces : (n+1)*len(bytes)/pieces]); err != nil {
			return false
		}
	}
	return true
}

// currentFlow returns the present rules of the writer's direction.
func (w *writer) currentFlow() Flow {
	rules := w.conn.proxy.Rules().forSource(w.conn.source)
	return rules.flow(w.direction)
}
