package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderNames holds the names of the HTTP headers that the tier reads and writes.
// They differ between platforms.
type HeaderNames struct {
	RequestID        string // request id chosen by the caller; upstreams repeat it in responses
	Wait             string // how long the sender of a request waits for the response, in milliseconds
	Receipt          string // proof that an upstream answered, in its response
	ExpectedUpstream string // id of the upstream that a request is intended for
	NotRun           string // set in a response when the upstream did not run the request
	Load             string // load of the upstream: running requests, waiting requests and slots, separated by commas
	Limit            string // requests per second that the upstream accepts from all VMs together
	Leaving          string // set when the upstream is about to stop
	Receipts         string // receipts of the shards included in a merged response, one header each
	MissingShards    string // number of shards left out of a merged response
}

// parseWait returns how long the caller waits for the response. It returns 0 when
// the header is missing or invalid or states more than an hour.
func (n *HeaderNames) parseWait(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(strings.TrimSpace(h.Get(n.Wait)), 10, 64)
	if err != nil || ms <= 0 || ms > int64(time.Hour/time.Millisecond) {
		return 0 // the route's timeout applies
	}
	return time.Duration(ms) * time.Millisecond
}

// endToEndHeaders returns the headers without Expect and the hop-by-hop ones,
// which apply to a single connection (RFC 9110, section 7.6.1).
func endToEndHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect",
	} {
		forwarded.Del(name)
	}
	return forwarded
}
