package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// callerConnKey is the context key of a connection's *callerConn.
type callerConnKey struct{}

// callerConn is what a [Server] knows of a caller's connection.
type callerConn struct {
	conn       net.Conn
	hadRequest atomic.Bool
}

// ConnContext is set as the ConnContext of the http.Server that runs a [Server].
// The Server needs it to recognize the first request on a connection, whose
// caller has also waited for the connection to open, and to read the round-trip
// time of the connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{conn: c})
}

// isFirstRequest reports whether a request is the first on its connection. It
// must be called once for each request.
func isFirstRequest(r *http.Request) bool {
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	return ok && !c.hadRequest.Swap(true)
}

// roundTripOf returns the round-trip time of the network between the caller and
// this VM, 0 when it is not known.
func roundTripOf(r *http.Request) time.Duration {
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return 0
	}
	smoothed, lowest := measuredRoundTrip(c.conn)
	// A peer that delays its acknowledgements inflates the smoothed time.
	return min(smoothed, maxRoundTripGrowth*lowest)
}

// maxRoundTripGrowth limits the round-trip time to this many times the lowest one
// of the connection.
const maxRoundTripGrowth = 2
