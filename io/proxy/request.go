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
	identity   []byte // headers that say who the caller is, as it sent them
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
	r.identity = cutHeaders(headers, keyHeader, names.Team)
	for _, name := range []string{"Host", "Content-Length", names.Wait, names.ExpectedUpstream, portionHeader, handoverHeader, meteredHeader} {
		headers.Del(name)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		headers.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	_ = headers.Write(&b) // a bytes.Buffer returns no error
	r.sharedHead = b.Bytes()
}

// cutHeaders removes headers and returns them encoded. An empty name stands for none.
func cutHeaders(h http.Header, names ...string) []byte {
	cut := make(http.Header)
	for _, name := range names {
		if values := h.Values(name); name != "" && len(values) > 0 {
			cut[http.CanonicalHeaderKey(name)] = values
			h.Del(name)
		}
	}
	var b bytes.Buffer
	_ = cut.Write(&b) // a bytes.Buffer returns no error
	return b.Bytes()
}

// encodeAttempt returns the bytes of one attempt's request: the shared head, the
// time left, the intended upstream or what another VM is asked to do, and the body.
func (r *CallerRequest) encodeAttempt(names *HeaderNames, deadline time.Time, f *effect.Forward) []byte {
	const addedBytes = 128 // room for the headers added here
	b := make([]byte, 0, len(r.sharedHead)+len(r.identity)+addedBytes+len(r.Body))
	b = append(b, r.sharedHead...)
	switch {
	case !f.HideKey:
		b = append(b, r.identity...)
	case f.Team != "":
		b = append(b, names.Team+": "+f.Team+"\r\n"...)
	}
	b = append(b, names.Wait...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, max(1, time.Until(deadline).Milliseconds()), 10)
	b = append(b, "\r\n"...)
	switch {
	case f.Portion != nil:
		b = append(b, portionHeader+": "+formatPortion(f.Portion)...)
	case f.Handover != nil:
		b = append(b, handoverHeader+": "+formatHandover(f.Handover)...)
		if f.Handover.Metered {
			b = append(b, "\r\n"+meteredHeader+": 1"...)
		}
	default:
		b = append(b, names.ExpectedUpstream...)
		b = append(b, ": "...)
		b = append(b, f.Upstream...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...)
}
