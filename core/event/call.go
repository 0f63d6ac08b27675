package event

import (
	"time"

	"comfreypulley/core/model"
)

// Call is a caller's request along a route of the document in force. Its
// method, headers and body stay with the front end.
type Call struct {
	ID          model.RequestID
	Tag         string // the caller's id of the request, for logs
	Host        string
	Path        string
	Wait        time.Duration // how long the caller waits; 0 when not stated
	Fingerprint model.Fingerprint
	Portion     *model.Portion // of another VM's request; nil for a caller's
	Fresh       bool           // the first request of its connection, which the caller has just made
}

// Gathered is a VM's answer to an attempt at a portion, or a part of it.
type Gathered struct {
	Attempt model.AttemptID
	Pieces  []model.Piece
	Records []byte // highest of the parts of these pieces, highest first
	More    bool   // further pieces follow
}

// Returned is a complete response to an attempt along a route.
type Returned struct {
	Attempt model.AttemptID
	Reply   model.Reply
	Receipt string        // of the upstream; empty when it gave none
	NotRun  bool          // the upstream states that it did not run the request
	Other   bool          // another upstream than the one meant answered
	Leaving bool          // the upstream closes the connection
	After   time.Duration // Retry-After, 0 when not stated
	Load    *model.Load   // nil when the upstream did not report
	Fresh   bool          // a new connection was made for the attempt
}

func (Call) body()     {}
func (Returned) body() {}
func (Gathered) body() {}
