package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// connUseKey is the context key of a connection's *connUse.
type connUseKey struct{}

// connUse records whether a connection has had a request.
type connUse struct{ hadRequest atomic.Bool }

// ConnContext is set as the ConnContext of the http.Server that runs a [Server].
// The Server needs it to recognize the first request on a connection, whose
// caller has also waited for the connection to open.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connUseKey{}, &connUse{})
}

// isFirstRequest reports whether a request is the first on its connection. It
// must be called once for each request.
func isFirstRequest(r *http.Request) bool {
	use, ok := r.Context().Value(connUseKey{}).(*connUse)
	return ok && !use.hadRequest.Swap(true)
}
