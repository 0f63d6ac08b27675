package stub

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"comfreypulley/io/span"
)

// controlBody is the JSON form of Settings. Settings that a POST omits keep their
// value.
type controlBody struct {
	State   string    `json:"state"`
	Slots   int       `json:"slots"`
	Queue   int       `json:"queue"`
	Conns   int       `json:"conns"`
	Dial    span.Span `json:"dial"`
	Service span.Span `json:"service"`
	Spread  float64   `json:"spread"`
	Slow    float64   `json:"slow"`
	Rare    float64   `json:"rare"`
	RareBy  float64   `json:"rareby"`
	Wrong   float64   `json:"wrong"`
	Cold    span.Span `json:"cold"`
	Warm    span.Span `json:"warm"`
	WarmBy  float64   `json:"warmby"`
	Restart span.Span `json:"restart"`
	Lag     span.Span `json:"lag"`
	Lie     *Lie      `json:"lie"`
	Holds   []Holding `json:"holds"`
}

func newControlBody(s Settings) controlBody {
	return controlBody{
		State: s.State, Slots: s.Slots, Queue: s.Queue, Conns: s.Conns, Dial: span.Span(s.Dial), Service: span.Span(s.Service),
		Spread: s.Spread, Slow: s.Slow, Rare: s.Rare, RareBy: s.RareBy, Wrong: s.Wrong, Cold: span.Span(s.Cold), Warm: span.Span(s.Warm),
		WarmBy: s.WarmBy, Restart: span.Span(s.Restart), Lag: span.Span(s.Lag), Lie: s.Lie, Holds: s.Holds,
	}
}

func (b *controlBody) settings() Settings {
	return Settings{
		State: b.State, Slots: b.Slots, Queue: b.Queue, Conns: b.Conns, Dial: time.Duration(b.Dial), Service: time.Duration(b.Service),
		Spread: b.Spread, Slow: b.Slow, Rare: b.Rare, RareBy: b.RareBy, Wrong: b.Wrong, Cold: time.Duration(b.Cold), Warm: time.Duration(b.Warm),
		WarmBy: b.WarmBy, Restart: time.Duration(b.Restart), Lag: time.Duration(b.Lag), Lie: b.Lie, Holds: b.Holds,
	}
}

// parseControl applies the body of a POST to /v1/control to the current settings.
func parseControl(current Settings, raw []byte) (next Settings, err error) {
	body := newControlBody(current)
	// Decoding would otherwise write into the pointer and the slice in use.
	body.Lie, body.Holds = nil, nil
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return current, fmt.Errorf("control body: %w", err)
	}
	var given map[string]json.RawMessage
	if err := json.Unmarshal(raw, &given); err != nil {
		return current, fmt.Errorf("control body: %w", err)
	}
	next = body.settings()
	if _, ok := given["lie"]; !ok {
		next.Lie = current.Lie
	}
	if _, ok := given["holds"]; !ok {
		next.Holds = current.Holds
	}
	return next, nil
}

func (s *Stub) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err == nil {
			err = s.applyChange(func(current Settings) (Settings, error) { return parseControl(current, raw) })
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	writeJSON(w, newControlBody(*s.settings.Load()))
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only when the client has closed the connection
}
