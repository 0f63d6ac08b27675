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
	stream := w.currentStream()
	if !c.waitUntil(received.receivedAt.Add(stream.Delay + c.extraDelay + c.proxy.randomBelow(stream.Jitter))) {
		return false
	}
	if w.currentStream().Drop {
		w.dropping = true
	}
	if w.dropping {
		// Later bytes cannot be delivered either, as the stream would have a gap.
		c.waitForRules(func(r *Rules) bool { return !r.stream(w.direction).Drop })
		return false
	}
	if !c.waitForRules(func(r *Rules) bool { return !r.Cut && !r.stream(w.direction).Stall }) {
		return false
	}
	switch {
	case received.reset:
		return false
	case len(received.bytes) == 0:
		return w.to.CloseWrite() == nil
	default:
		return w.writePieces(received.bytes, w.currentStream())
	}
}

// writePieces writes bytes in as many pieces as the rules state.
func (w *writer) writePieces(bytes []byte, stream StreamRules) bool {
	pieces := max(1, min(stream.Pieces, len(bytes)))
	for n := range pieces {
		if n > 0 && !w.conn.waitUntil(time.Now().Add(stream.PieceGap)) {
			return false
		}
		if _, err := w.to.Write(bytes[n*len(bytes)/pieces : (n+1)*len(bytes)/pieces]); err != nil {
			return false
		}
	}
	return true
}

// currentStream returns the present rules of the writer's direction.
func (w *writer) currentStream() StreamRules {
	rules := w.conn.proxy.Rules().forSource(w.conn.source)
	return rules.stream(w.direction)
}
