package proxy

import (
	"net/http"

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
	answer  chan effect.Effect
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
