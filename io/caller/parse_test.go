package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

const (
	goodBody = `{"index":"pairing","query":{"n":1},"limit":3}`
	goodKey  = "019a2f2e-5c1b-7d00-8a11-2b3c4d5e6f70"
)

// Guards against malformed requests that reach the reducer. The error of each one
// names the invalid part.
func TestParseRefusesMalformedRequests(t *testing.T) {
	tests := map[string]struct {
		auth, wait, key, body string
		requireKey            bool
		want                  string
	}{
		"no credential":    {wait: "1s", body: goodBody, want: "Authorization"},
		"no secret":        {auth: "Bearer acme", wait: "1s", body: goodBody, want: "Authorization"},
		"no wait":          {auth: "Bearer a.b", body: goodBody, want: "Wait"},
		"negative wait":    {auth: "Bearer a.b", wait: "-1s", body: goodBody, want: "Wait"},
		"key on query":     {auth: "Bearer a.b", wait: "1s", key: goodKey, body: goodBody, want: "/v1/run"},
		"run without key":  {auth: "Bearer a.b", wait: "1s", requireKey: true, body: goodBody, want: "UUID"},
		"key of version 4": {auth: "Bearer a.b", wait: "1s", requireKey: true, key: "019a2f2e-5c1b-4d00-8a11-2b3c4d5e6f70", body: goodBody, want: "UUID"},
		"truncated body":   {auth: "Bearer a.b", wait: "1s", body: goodBody[:20], want: "JSON"},
		"wrong types":      {auth: "Bearer a.b", wait: "1s", body: `{"index":3}`, want: "JSON"},
		"path in index":    {auth: "Bearer a.b", wait: "1s", body: `{"index":"a/../b","query":1}`, want: "index"},
		"no query":         {auth: "Bearer a.b", wait: "1s", body: `{"index":"a"}`, want: "query"},
		"limit below 0":    {auth: "Bearer a.b", wait: "1s", body: `{"index":"a","query":1,"limit":-1}`, want: "limit"},
		"oversized body":   {auth: "Bearer a.b", wait: "1s", body: `"` + strings.Repeat("x", maxBodyBytes) + `"`, want: "body of at most"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/v1/query", strings.NewReader(test.body))
			r.Header.Set("Authorization", test.auth)
			r.Header.Set("Wait", test.wait)
			r.Header.Set("Idempotency-Key", test.key)
			_, err := parse(httptest.NewRecorder(), r, test.requireKey)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one that contains %q", err, test.want)
			}
		})
	}
}

// Guards against a panic on untrusted input, and against accepting a query
// without a wait or an index, or without a required key.
func FuzzParse(f *testing.F) {
	f.Add("Bearer acme.secret", "80ms", goodKey, goodBody, true)
	f.Add("", "", "", "", false)
	f.Fuzz(func(t *testing.T, auth, wait, key, body string, requireKey bool) {
		r := httptest.NewRequest(http.MethodPost, "/v1/query", strings.NewReader(body))
		r.Header.Set("Authorization", auth)
		r.Header.Set("Wait", wait)
		r.Header.Set("Idempotency-Key", key)
		request, err := parse(httptest.NewRecorder(), r, requireKey)
		if err == nil && (request.Wait <= 0 || request.Index == "" || requireKey == request.Key.IsZero()) {
			t.Errorf("got the invalid query %+v without an error", request)
		}
	})
}
