// Package span encodes durations as text, such as "80ms", in the JSON of the tools.
//
// # Usage
//
//	var body struct{ Delay span.Duration `json:"delay"` }
//	err := json.Unmarshal([]byte(`{"delay":"80ms"}`), &body)
//	wait := time.Duration(body.Delay)
package span
