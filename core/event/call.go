package event

import (
	"time"

	"comfreypulley/core/model"
)

// ProxyRequest is a caller's request along a route of the document in force. Its
// method, headers and body stay with the front end.
type ProxyRequest struct {
	ID              model.RequestID
	CallerRequestID string // the caller's id of the request, for logs
	Host            string
	Path            string
	Wait            time.Duration // how long the caller waits; 0 when not stated
	Fingerprint     model.Fingerprint
	Portion         *model.Portion // of another VM's request; nil for a caller's
	NewConn         bool           // the first request of its connection, which the caller has just made
}

// PortionResult is a VM's answer to an attempt at a portion, or a part of it.
type PortionResult struct {
	Attempt model.AttemptID
	Results []model.ShardResult
	Records []byte // highest of the parts of these pieces, highest first
	More    bool   // further pieces follow
}

// ResponseReceived is a complete response to an attempt along a route.
type ResponseReceived struct {
	Attempt       model.AttemptID
	Response      model.Response
	Receipt       string        // of the upstream; empty when it gave none
	NotRun        bool          // the upstream states that it did not run the request
	WrongUpstream bool          // another upstream than the one meant answered
	ClosesConn    bool          // the upstream closes the connection
	RetryAfter    time.Duration // Retry-After, 0 when not stated
	Load          *model.Load   // nil when the upstream did not report
	NewConn       bool          // a new connection was made for the attempt
}

func (ProxyRequest) body()     {}
func (ResponseReceived) body() {}
func (PortionResult) body()    {}
