package fault

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"comfreypulley/io/span"
)

// rulesJSON is the JSON encoding of Rules. In JSON, MaxConnDelay is called skew,
// Drop is lose and PieceGap is gap.
type rulesJSON struct {
	Cut    bool          `json:"cut"`
	Refuse bool          `json:"refuse"`
	Skew   span.Duration `json:"skew"`
	Up     streamJSON    `json:"up"`
	Down   streamJSON    `json:"down"`

	Sources []sourceJSON `json:"sources,omitempty"`
}

type sourceJSON struct {
	From  netip.Prefix  `json:"from"`
	Cut   bool          `json:"cut"`
	Stall bool          `json:"stall"`
	Delay span.Duration `json:"delay"`
}

type streamJSON struct {
	Delay  span.Duration `json:"delay"`
	Jitter span.Duration `json:"jitter"`
	Stall  bool          `json:"stall"`
	Lose   bool          `json:"lose"`
	Pieces int           `json:"pieces"`
	Gap    span.Duration `json:"gap"`
}

func encodeRules(r Rules) rulesJSON {
	b := rulesJSON{Cut: r.Cut, Refuse: r.Refuse, Skew: span.Duration(r.MaxConnDelay), Up: encodeStream(r.Up), Down: encodeStream(r.Down)}
	for _, s := range r.Sources {
		b.Sources = append(b.Sources, sourceJSON{From: s.Prefix, Cut: s.Cut, Stall: s.Stall, Delay: span.Duration(s.Delay)})
	}
	return b
}

func encodeStream(s StreamRules) streamJSON {
	return streamJSON{
		Delay: span.Duration(s.Delay), Jitter: span.Duration(s.Jitter), Stall: s.Stall, Lose: s.Drop, Pieces: s.Pieces, Gap: span.Duration(s.PieceGap),
	}
}

func (b *rulesJSON) decode() Rules {
	r := Rules{Cut: b.Cut, Refuse: b.Refuse, MaxConnDelay: time.Duration(b.Skew), Up: b.Up.decode(), Down: b.Down.decode()}
	for _, s := range b.Sources {
		r.Sources = append(r.Sources, SourceRules{Prefix: s.From, Cut: s.Cut, Stall: s.Stall, Delay: time.Duration(s.Delay)})
	}
	return r
}

func (b *streamJSON) decode() StreamRules {
	return StreamRules{
		Delay: time.Duration(b.Delay), Jitter: time.Duration(b.Jitter), Stall: b.Stall, Drop: b.Lose, Pieces: b.Pieces, PieceGap: time.Duration(b.Gap),
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
		c.Proxy.ResetConns()
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
	return c.Proxy.SetRules(body.decode())
}
