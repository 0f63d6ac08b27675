package caller

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// maxItems is the largest number of items that a caller may request.
const maxItems = 10_000

// requestBody is the JSON body of a query.
type requestBody struct {
	Index string          `json:"index"`
	Query json.RawMessage `json:"query"`
	Limit int             `json:"limit"`
}

// parse converts an HTTP request to a query without an id. With requireKey the
// request must have an idempotency key, otherwise it must have none.
func parse(w http.ResponseWriter, r *http.Request, requireKey bool) (request event.QueryRequest, err error) {
	request.Customer, request.Credential, err = parseCredential(r.Header.Get("Authorization"))
	if err != nil {
		return request, err
	}
	request.Wait, err = time.ParseDuration(r.Header.Get("Wait"))
	if err != nil || request.Wait <= 0 {
		return request, fmt.Errorf("header Wait must be a positive duration such as 80ms, not %q", r.Header.Get("Wait"))
	}
	key := r.Header.Get("Idempotency-Key")
	if requireKey {
		request.Key, err = model.ParseKey(key)
		if err != nil {
			return request, err
		}
	} else if key != "" {
		return request, errors.New("header Idempotency-Key is for /v1/run only")
	}
	rawBody, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return request, fmt.Errorf("body of at most %d bytes: %w", maxBodyBytes, err)
	}
	var body requestBody
	if err := json.Unmarshal(rawBody, &body); err != nil {
		return request, fmt.Errorf("body is not the expected JSON object: %w", err)
	}
	if !isIndexName(body.Index) {
		return request, fmt.Errorf("index %q must have 1 to 64 letters, digits, hyphens or underscores", body.Index)
	}
	if len(body.Query) == 0 {
		return request, errors.New("query is missing")
	}
	if body.Limit < 0 || body.Limit > maxItems {
		return request, fmt.Errorf("limit must be between 0 and %d, not %d", maxItems, body.Limit)
	}
	request.Index = body.Index
	request.Body = body.Query
	request.MaxItems = body.Limit
	request.Fingerprint = fingerprint(body)
	return request, nil
}

func parseCredential(header string) (customer string, hash [sha256.Size]byte, err error) {
	token, ok := strings.CutPrefix(header, "Bearer ")
	customer, secret, dot := strings.Cut(token, ".")
	if !ok || !dot || customer == "" || secret == "" {
		return "", hash, errors.New("header Authorization must be Bearer CUSTOMER.SECRET")
	}
	return customer, sha256.Sum256([]byte(secret)), nil
}

// isIndexName reports whether a name can be put unescaped into the URL path of an
// upstream request.
func isIndexName(name string) bool {
	if name == "" || len(name) > 64 {
		return false
	}
	for _, c := range name {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}

// fingerprint hashes the index and the query. The limit of items is left out.
func fingerprint(body requestBody) model.Fingerprint {
	h := xxh3.New()
	_, _ = h.WriteString(body.Index)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body.Query)
	return model.Fingerprint(h.Sum64())
}
