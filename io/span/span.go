package span

import (
	"fmt"
	"time"
)

// Span is a duration that is encoded as text. Decoding rejects negative durations.
type Span time.Duration

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf("must be a non-negative duration such as 80ms, not %q", text)
	}
	*s = Span(d)
	return nil
}
