package proxy

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// CallerRequest is a caller's request as received. Every attempt for it sends a
// copy.
type CallerRequest struct {
	Method  string
	Host    string
	URI     string // path and query, as sent
	Headers http.Header
	Body    []byte
	ID      string // request id chosen by the caller

	responses  chan effect.Effect // responses and refusals from the loop
	encodeOnce sync.Once
	sharedHead []byte // request line and headers that all attempts have in common
}

// fingerprint hashes what an upstream sees of the request, other than headers.
func (r *CallerRequest) fingerprint() model.Fingerprint {
	h := xxh3.New()
	for _, text := range []string{r.Method, r.Host, r.URI} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return model.Fingerprint(h.Sum64())
}

// encodeSharedHead encodes the request line and the headers that all attempts
// have in common: those of the caller without hop-by-hop headers, and without the
// headers that encodeAttempt adds.
func (r *CallerRequest) encodeSharedHead(names *HeaderNames) {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	headers := endToEndHeaders(r.Headers)
	for _, name := range []string{"Host", "Content-Length", names.Wait, names.ExpectedUpstream, portionHeader, handoverHeader} {
		headers.Del(name)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		headers.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	_ = headers.Write(&b) // a bytes.Buffer returns no error
	r.sharedHead = b.Bytes()
}

// encodeAttempt returns the bytes of one attempt's request: the shared head, the
// time left, the intended upstream or what another VM is asked to do, and the body.
func (r *CallerRequest) encodeAttempt(names *HeaderNames, deadline time.Time, f *effect.Forward) []byte {
	const addedBytes = 128 // room for the headers added here
	b := make([]byte, 0, len(r.sharedHead)+addedBytes+len(r.Body))
	b = append(b, r.sharedHead...)
	b = append(b, names.Wait...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, max(1, time.Until(deadline).Milliseconds()), 10)
	b = append(b, "\r\n"...)
	switch {
	case f.Portion != nil:
		b = append(b, portionHeader+": "+formatPortion(f.Portion)...)
	case f.Handover != nil:
		b = append(b, handoverHeader+": "+formatHandover(f.Handover)...)
	default:
		b = append(b, names.ExpectedUpstream...)
		b = append(b, ": "...)
		b = append(b, f.Upstream...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...)
}
