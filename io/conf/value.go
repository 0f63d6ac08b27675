package conf

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"comfreypulley/core/model"
)

func textValue(to *string) func(string) error {
	return func(text string) error {
		*to = text
		return nil
	}
}

func choiceValue(to *string, choices ...string) func(string) error {
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

func durationValue(to *time.Duration, least, most time.Duration) func(string) error {
	return func(text string) error {
		v, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("must be a duration such as 80ms, not %q", text)
		}
		if v < least || v > most {
			return fmt.Errorf("must be between %v and %v, not %v", least, most, v)
		}
		*to = v
		return nil
	}
}

func intValue(to *int, least, most int) func(string) error {
	return func(text string) error {
		v, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("must be a whole number, not %q", text)
		}
		if v < least || v > most {
			return fmt.Errorf("must be between %d and %d, not %d", least, most, v)
		}
		*to = v
		return nil
	}
}

func shareValue(to *float64) func(string) error {
	return func(text string) error {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v <= 1) {
			return fmt.Errorf("must be a share between 0 and 1, not %q", text)
		}
		*to = v
		return nil
	}
}

func positiveValue(to *float64) func(string) error {
	return func(text string) error {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v > 0 && v <= 1e6) {
			return fmt.Errorf("must be a number above 0, not %q", text)
		}
		*to = v
		return nil
	}
}

func addrValue(to *netip.AddrPort) func(string) error {
	return func(text string) error {
		v, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("must be an IP address with a port such as 127.0.0.1:8080, not %q", text)
		}
		*to = v
		return nil
	}
}

func boolValue(to *bool) func(string) error {
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

func listValue(to *[]string) func(string) error {
	return func(text string) error {
		for part := range strings.SplitSeq(text, ",") {
			if part = strings.TrimSpace(part); part != "" {
				*to = append(*to, part)
			}
		}
		return nil
	}
}

func stateValue(to *model.AdminState) func(string) error {
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
