package span

import (
	"fmt"
	"time"
)

// Duration is a duration that is encoded as text. Decoding rejects negative durations.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("must be a non-negative duration such as 80ms, not %q", text)
	}
	*d = Duration(parsed)
	return nil
}
