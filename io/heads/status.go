package heads

import (
	"fmt"
	"net/http"
)

// StatusError reports a response whose first line has no status that a server may send
// in HTTP/1.0 or HTTP/1.1. What follows such a line is no answer, and the connection must
// not be read any further.
type StatusError struct {
	Proto  string // version of the protocol, as received
	Status string // status and reason, as received
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status line %q of protocol %q is not valid", e.Status, e.Proto)
}

// CheckStatus checks the first line of a response, of which net/http accepts more than the
// protocol allows: statuses such as 000, +20 and 999, and other versions. interim is set for
// a response that precedes the final one. The error is a *StatusError.
func CheckStatus(r *http.Response) (interim bool, err error) {
	const digits = 3
	valid := r.ProtoMajor == 1 && r.ProtoMinor <= 1 && len(r.Status) >= digits
	for i := 0; valid && i < digits; i++ {
		valid = r.Status[i] >= '0' && r.Status[i] <= '9'
	}
	// No request of this tier asks for a change of the protocol.
	if !valid || r.StatusCode < 100 || r.StatusCode > 599 || r.StatusCode == http.StatusSwitchingProtocols {
		return false, &StatusError{Proto: r.Proto, Status: r.Status}
	}
	return r.StatusCode < 200, nil
}
