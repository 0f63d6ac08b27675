package gate_test

import (
	"testing"

	"comfreypulley/io/gate"
)

// Guards against a request that enters after the close, and against a close that
// does not wait for the requests in flight.
func TestGate(t *testing.T) {
	var g gate.Gate
	for range 2 {
		if !g.Enter() {
			t.Fatal("got no entry to an open gate")
		}
	}
	g.Leave()
	idle := g.Close()
	if g.Enter() {
		t.Error("got an entry to a closed gate")
	}
	select {
	case <-idle:
		t.Error("the gate is idle with a request inside")
	default:
	}
	g.Leave()
	<-idle
	<-g.Close()
}
