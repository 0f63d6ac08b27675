// Package span is the text form of durations in the JSON of the tools, such as
// "80ms".
//
// # Usage
//
//	var body struct{ Delay span.Span `json:"delay"` }
//	err := json.Unmarshal([]byte(`{"delay":"80ms"}`), &body)
//	wait := time.Duration(body.Delay)
package span
