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

// Exchange is a caller's request as it came, for the attempts made for it.
type Exchange struct {
	Method  string
	Host    string
	URI     string // path and query, as sent
	Headers http.Header
	Body    []byte
	Tag     string

	answer chan effect.Effect
	once   sync.Once
	head   []byte // of every attempt, without what differs between them
}

// fingerprint tells requests apart by what an upstream sees of them.
func (x *Exchange) fingerprint() model.Fingerprint {
	h := xxh3.New()
	for _, text := range []string{x.Method, x.Host, x.URI} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.Body)
	return model.Fingerprint(h.Sum64())
}

// render writes the part of the request that all attempts share: as the caller
// sent it, without the headers of its connection and those that are set here.
func (x *Exchange) render(d *Dialect) {
	var b bytes.Buffer
	b.WriteString(x.Method + " " + x.URI + " HTTP/1.1\r\nHost: " + x.Host + "\r\n")
	headers := passing(x.Headers)
	for _, name := range []string{"Host", "Content-Length", d.Wait, d.Expect, portionHeader} {
		headers.Del(name)
	}
	if len(x.Body) > 0 || x.Method != http.MethodGet && x.Method != http.MethodHead {
		headers.Set("Content-Length", strconv.Itoa(len(x.Body)))
	}
	_ = headers.Write(&b) // a buffer takes every write
	x.head = b.Bytes()
}

// request returns the bytes of one attempt: the shared part, what is left of
// the time, and the upstream that it is meant for or the portion that another VM
// is to gather.
func (x *Exchange) request(d *Dialect, end time.Time, upstream model.UpstreamID, portion *model.Portion) []byte {
	const own = 128 // bytes of the headers set here
	b := make([]byte, 0, len(x.head)+own+len(x.Body))
	b = append(b, x.head...)
	b = append(b, d.Wait...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, max(1, time.Until(end).Milliseconds()), 10)
	b = append(b, "\r\n"...)
	if portion != nil {
		b = append(b, portionHeader+": "+writePortion(portion)...)
	} else {
		b = append(b, d.Expect...)
		b = append(b, ": "...)
		b = append(b, upstream...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, x.Body...)
}
