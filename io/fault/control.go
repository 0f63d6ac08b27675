package fault

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"comfreypulley/io/span"
)

// rulesJSON is the JSON encoding of Rules.
type rulesJSON struct {
	Cut    bool      `json:"cut"`
	Refuse bool      `json:"refuse"`
	Skew   span.Span `json:"skew"`
	Up     flowJSON  `json:"up"`
	Down   flowJSON  `json:"down"`

	Sources []sourceJSON `json:"sources,omitempty"`
}

type sourceJSON struct {
	From  netip.Prefix `json:"from"`
	Cut   bool         `json:"cut"`
	Stall bool         `json:"stall"`
	Delay span.Span    `json:"delay"`
}

type flowJSON struct {
	Delay  span.Span `json:"delay"`
	Jitter span.Span `json:"jitter"`
	Stall  bool      `json:"stall"`
	Lose   bool      `json:"lose"`
	Pieces int       `json:"pieces"`
	Gap    span.Span `json:"gap"`
}

func encodeRules(r Rules) rulesJSON {
	b := rulesJSON{Cut: r.Cut, Refuse: r.Refuse, Skew: span.Span(r.Skew), Up: encodeFlow(r.Up), Down: encodeFlow(r.Down)}
	for _, s := range r.Sources {
		b.Sources = append(b.Sources, sourceJSON{From: s.From, Cut: s.Cut, Stall: s.Stall, Delay: span.Span(s.Delay)})
	}
	return b
}

func encodeFlow(f Flow) flowJSON {
	return flowJSON{
		Delay: span.Span(f.Delay), Jitter: span.Span(f.Jitter), Stall: f.Stall, Lose: f.Lose, Pieces: f.Pieces, Gap: span.Span(f.Gap),
	}
}

func (b *rulesJSON) decode() Rules {
	r := Rules{Cut: b.Cut, Refuse: b.Refuse, Skew: time.Duration(b.Skew), Up: b.Up.decode(), Down: b.Down.decode()}
	for _, s := range b.Sources {
		r.Sources = append(r.Sources, Source{From: s.From, Cut: s.Cut, Stall: s.Stall, Delay: time.Duration(s.Delay)})
	}
	return r
}

func (b *flowJSON) decode() Flow {
	return Flow{
		Delay: time.Duration(b.Delay), Jitter: time.Duration(b.Jitter), Stall: b.Stall, Lose: b.Lose, Pieces: b.Pieces, Gap: time.Duration(b.Gap),
	}
}

// Control is the HTTP API of a Proxy: GET and POST /v1/rules read and replace the
// rules, and POST /v1/reset resets the open connections. Each answers with the
// rules.
type Control struct {
	Proxy *Proxy
}

// ServeHTTP implements http.Handler.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/reset":
		c.Proxy.Reset()
	case "POST /v1/rules":
		if err := c.setRules(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	case "GET /v1/rules":
	default:
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// Writing fails only when the client has disconnected.
	_ = json.NewEncoder(w).Encode(encodeRules(c.Proxy.Rules()))
}

func (c *Control) setRules(r *http.Request) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	var body rulesJSON
	if err := decoder.Decode(&body); err != nil {
		return fmt.Errorf("decode rules: %w", err)
	}
	return c.Proxy.Set(body.decode())
}
