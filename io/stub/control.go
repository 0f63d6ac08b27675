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

// controlBody is the JSON form of Settings. A field that a POST leaves out
// keeps its value.
type controlBody struct {
	State   string        `json:"state"`
	Slots   int           `json:"slots"`
	Queue   int           `json:"queue"`
	Conns   int           `json:"conns"`
	Dial    span.Duration `json:"dial"`
	Service span.Duration `json:"service"`
	Spread  float64       `json:"spread"`
	Slow    float64       `json:"slow"`
	Rare    float64       `json:"rare"`
	RareBy  float64       `json:"rareby"`
	Wrong   float64       `json:"wrong"`
	Cold    span.Duration `json:"cold"`
	Warm    span.Duration `json:"warm"`
	WarmBy  float64       `json:"warmby"`
	Restart span.Duration `json:"restart"`
	Lag     span.Duration `json:"lag"`
	Lie     *Lie          `json:"lie"`
	Holds   []Holding     `json:"holds"`
}

func bodyOf(s Settings) controlBody {
	return controlBody{
		State: s.State, Slots: s.Slots, Queue: s.Queue, Conns: s.Conns, Dial: span.Duration(s.Dial), Service: span.Duration(s.Service),
		Spread: s.Spread, Slow: s.Slow, Rare: s.Rare, RareBy: s.RareBy, Wrong: s.Wrong, Cold: span.Duration(s.Cold), Warm: span.Duration(s.Warm),
		WarmBy: s.WarmBy, Restart: span.Duration(s.Restart), Lag: span.Duration(s.Lag), Lie: s.Lie, Holds: s.Holds,
	}
}

func (b *controlBody) settings() Settings {
	return Settings{
		State: b.State, Slots: b.Slots, Queue: b.Queue, Conns: b.Conns, Dial: time.Duration(b.Dial), Service: time.Duration(b.Service),
		Spread: b.Spread, Slow: b.Slow, Rare: b.Rare, RareBy: b.RareBy, Wrong: b.Wrong, Cold: time.Duration(b.Cold), Warm: time.Duration(b.Warm),
		WarmBy: b.WarmBy, Restart: time.Duration(b.Restart), Lag: time.Duration(b.Lag), Lie: b.Lie, Holds: b.Holds,
	}
}

// parseControl applies the JSON of a change to settings.
func parseControl(current Settings, raw []byte) (next Settings, err error) {
	body := bodyOf(current)
	// Decoding would otherwise write into the values that are in use.
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
		raw, err := io.ReadAll(io.LimitReader(r.Body, maxQuery))
		if err == nil {
			err = s.change(func(current Settings) (Settings, error) { return parseControl(current, raw) })
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	writeJSON(w, bodyOf(*s.settings.Load()))
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The client may have closed the connection; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(body)
}
