package proxy

import (
	"errors"
	"net"
	"os"
	"time"

	"comfreypulley/core/model"
)

// resetMargin is the time that an upstream takes to reset a connection beyond its limit.
const resetMargin = 4 * time.Millisecond

// awaitReset waits for the reset of a new connection, whose round trip is given. It returns
// "" when none came. Nothing has been sent on the connection then.
func awaitReset(raw net.Conn, roundTrip time.Duration) model.FailureReason {
	if err := raw.SetReadDeadline(time.Now().Add(roundTrip + resetMargin)); err != nil {
		return model.FailedConns
	}
	switch _, err := raw.Read(make([]byte, 1)); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ""
	case err != nil:
		return model.FailedConns
	default:
		return model.FailedInvalid // bytes before any request
	}
}
