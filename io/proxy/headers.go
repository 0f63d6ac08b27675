package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"comfreypulley/core/model"
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
	Team             string // name of the team whose request an upstream receives
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

// keyHeader has the key of a caller, as "Bearer KEY".
const keyHeader = "Authorization"

// parseKey returns the hash of the key with which a caller authenticates, and the zero
// hash when there is none.
func parseKey(h http.Header) model.KeyHash {
	scheme, key, found := strings.Cut(strings.TrimSpace(h.Get(keyHeader)), " ")
	if key = strings.TrimSpace(key); !found || key == "" || !strings.EqualFold(scheme, "Bearer") {
		return model.KeyHash{}
	}
	return model.HashKey(key)
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
