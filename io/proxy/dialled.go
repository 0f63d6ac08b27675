package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// dialledKey is the key of a connection's *dialled in the context of its requests.
type dialledKey struct{}

// dialled is a connection on which no request has come yet.
type dialled struct{ used atomic.Bool }

// ConnContext is http.Server.ConnContext. It lets a Server tell the first request
// of a connection, whose caller has waited for the connection, too.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, dialledKey{}, &dialled{})
}

// first reports whether a request is the first of its connection.
func first(r *http.Request) bool {
	d, ok := r.Context().Value(dialledKey{}).(*dialled)
	return ok && !d.used.Swap(true)
}
