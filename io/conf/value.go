package conf

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"comfreypulley/core/model"
)

// parseText returns a function that stores a text.
func parseText(to *string) func(string) error {
	return func(text string) error {
		*to = text
		return nil
	}
}

// parseChoice returns a function that stores a text that must be one of the choices.
func parseChoice(to *string, choices ...string) func(string) error {
	return func(text string) error {
		for _, c := range choices {
			if text == c {
				*to = text
				return nil
			}
		}
		return fmt.Errorf("must be one of %s, not %q", strings.Join(choices, ", "), text)
	}
}

// parseDuration returns a function that parses a duration within bounds.
func parseDuration(to *time.Duration, lowest, highest time.Duration) func(string) error {
	return func(text string) error {
		v, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("must be a duration such as 80ms, not %q", text)
		}
		if v < lowest || v > highest {
			return fmt.Errorf("must be between %v and %v, not %v", lowest, highest, v)
		}
		*to = v
		return nil
	}
}

// parseInt returns a function that parses an integer within bounds.
func parseInt(to *int, lowest, highest int) func(string) error {
	return func(text string) error {
		v, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("must be a whole number, not %q", text)
		}
		if v < lowest || v > highest {
			return fmt.Errorf("must be between %d and %d, not %d", lowest, highest, v)
		}
		*to = v
		return nil
	}
}

// parseFraction returns a function that parses a number from 0 to 1.
func parseFraction(to *float64) func(string) error {
	return func(text string) error {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v <= 1) {
			return fmt.Errorf("must be a fraction between 0 and 1, not %q", text)
		}
		*to = v
		return nil
	}
}

// parsePositive returns a function that parses a number above 0 and at most 1e6.
func parsePositive(to *float64) func(string) error {
	return func(text string) error {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v > 0 && v <= 1e6) {
			return fmt.Errorf("must be a number above 0 and at most 1000000, not %q", text)
		}
		*to = v
		return nil
	}
}

// parseAddr returns a function that parses an IP address with a port.
func parseAddr(to *netip.AddrPort) func(string) error {
	return func(text string) error {
		v, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("must be an IP address with a port such as 127.0.0.1:8080, not %q", text)
		}
		*to = v
		return nil
	}
}

// parseBool returns a function that parses yes or no.
func parseBool(to *bool) func(string) error {
	return func(text string) error {
		switch text {
		case "yes":
			*to = true
		case "no":
			*to = false
		default:
			return fmt.Errorf("must be yes or no, not %q", text)
		}
		return nil
	}
}

// parseList returns a function that parses a list separated by commas.
func parseList(to *[]string) func(string) error {
	return func(text string) error {
		for part := range strings.SplitSeq(text, ",") {
			if part = strings.TrimSpace(part); part != "" {
				*to = append(*to, part)
			}
		}
		return nil
	}
}

// parseState returns a function that parses an administrative state.
func parseState(to *model.AdminState) func(string) error {
	return func(text string) error {
		for _, state := range []model.AdminState{model.StateActive, model.StateDraining} {
			if text == state.String() {
				*to = state
				return nil
			}
		}
		return fmt.Errorf("must be active or draining, not %q", text)
	}
}
