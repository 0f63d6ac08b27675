package fault

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"comfreypulley/io/span"
)

// rulesBody is the JSON form of Rules.
type rulesBody struct {
	Cut    bool          `json:"cut"`
	Refuse bool          `json:"refuse"`
	Skew   span.Duration `json:"skew"`
	Up     flowBody      `json:"up"`
	Down   flowBody      `json:"down"`

	Sources []sourceBody `json:"sources,omitempty"`
}

type sourceBody struct {
	From  netip.Prefix  `json:"from"`
	Cut   bool          `json:"cut"`
	Stall bool          `json:"stall"`
	Delay span.Duration `json:"delay"`
}

type flowBody struct {
	Delay  span.Duration `json:"delay"`
	Jitter span.Duration `json:"jitter"`
	Stall  bool          `json:"stall"`
	Lose   bool          `json:"lose"`
	Pieces int           `json:"pieces"`
	Gap    span.Duration `json:"gap"`
}

func bodyOf(r Rules) rulesBody {
	b := rulesBody{Cut: r.Cut, Refuse: r.Refuse, Skew: span.Duration(r.Skew), Up: flowBodyOf(r.Up), Down: flowBodyOf(r.Down)}
	for _, s := range r.Sources {
		b.Sources = append(b.Sources, sourceBody{From: s.From, Cut: s.Cut, Stall: s.Stall, Delay: span.Duration(s.Delay)})
	}
	return b
}

func flowBodyOf(f Flow) flowBody {
	return flowBody{
		Delay: span.Duration(f.Delay), Jitter: span.Duration(f.Jitter), Stall: f.Stall, Lose: f.Lose, Pieces: f.Pieces, Gap: span.Duration(f.Gap),
	}
}

func (b *rulesBody) rules() Rules {
	r := Rules{Cut: b.Cut, Refuse: b.Refuse, Skew: time.Duration(b.Skew), Up: b.Up.flow(), Down: b.Down.flow()}
	for _, s := range b.Sources {
		r.Sources = append(r.Sources, Source{From: s.From, Cut: s.Cut, Stall: s.Stall, Delay: time.Duration(s.Delay)})
	}
	return r
}

func (b *flowBody) flow() Flow {
	return Flow{
		Delay: time.Duration(b.Delay), Jitter: time.Duration(b.Jitter), Stall: b.Stall, Lose: b.Lose, Pieces: b.Pieces, Gap: time.Duration(b.Gap),
	}
}

// Control is the HTTP front end of a Proxy: GET and POST /v1/rules read and
// replace the rules, POST /v1/reset resets the open connections.
type Control struct {
	Proxy *Proxy
}

// ServeHTTP implements http.Handler.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/reset":
		c.Proxy.Reset()
	case "POST /v1/rules":
		if err := c.set(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	case "GET /v1/rules":
	default:
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The client may have closed the connection; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(bodyOf(c.Proxy.Rules()))
}

func (c *Control) set(r *http.Request) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	var body rulesBody
	if err := decoder.Decode(&body); err != nil {
		return fmt.Errorf("rules body: %w", err)
	}
	return c.Proxy.Set(body.rules())
}
