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
	State   string         `json:"state"`
	Slots   int            `json:"slots"`
	Queue   int            `json:"queue"`
	Conns   int            `json:"conns"`
	Dial    span.Duration  `json:"dial"`
	Service span.Duration  `json:"service"`
	Spread  float64        `json:"spread"`
	Slow    float64        `json:"slow"`
	Rare    float64        `json:"rare"`
	RareBy  float64        `json:"rareby"`
	Wrong   float64        `json:"wrong"`
	Cold    span.Duration  `json:"cold"`
	Warm    span.Duration  `json:"warm"`
	WarmBy  float64        `json:"warmby"`
	Restart span.Duration  `json:"restart"`
	Lag     span.Duration  `json:"lag"`
	Lie     *FalseReport   `json:"lie"`
	Holds   []HeldSnapshot `json:"holds"`
}

func newControlBody(s Settings) controlBody {
	return controlBody{
		State: s.State, Slots: s.Slots, Queue: s.MaxQueued, Conns: s.MaxConns, Dial: span.Duration(s.DialCost),
		Service: span.Duration(s.MedianServiceTime), Spread: s.ServiceTimeSigma, Slow: s.SlowFactor, Rare: s.RareFraction, RareBy: s.RareFactor,
		Wrong: s.WrongFraction, Cold: span.Duration(s.ColdPeriod), Warm: span.Duration(s.WarmUpPeriod), WarmBy: s.WarmUpFactor,
		Restart: span.Duration(s.RestartDelay), Lag: span.Duration(s.ReportAge), Lie: s.FalseReport, Holds: s.Snapshots,
	}
}

func (b *controlBody) settings() Settings {
	return Settings{
		State: b.State, Slots: b.Slots, MaxQueued: b.Queue, MaxConns: b.Conns, DialCost: time.Duration(b.Dial),
		MedianServiceTime: time.Duration(b.Service), ServiceTimeSigma: b.Spread, SlowFactor: b.Slow, RareFraction: b.Rare, RareFactor: b.RareBy,
		WrongFraction: b.Wrong, ColdPeriod: time.Duration(b.Cold), WarmUpPeriod: time.Duration(b.Warm), WarmUpFactor: b.WarmBy,
		RestartDelay: time.Duration(b.Restart), ReportAge: time.Duration(b.Lag), FalseReport: b.Lie, Snapshots: b.Holds,
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
		next.FalseReport = current.FalseReport
	}
	if _, ok := given["holds"]; !ok {
		next.Snapshots = current.Snapshots
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
