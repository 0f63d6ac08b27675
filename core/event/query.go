package event

import (
	"crypto/sha256"
	"time"

	"comfreypulley/core/model"
)

// QueryRequest is a caller's query of an index. Its deadline is the wait of the
// contract's class for Wait, counted from the event's time.
type QueryRequest struct {
	ID          model.RequestID
	Customer    string
	Credential  [sha256.Size]byte // hash of the secret that the caller presented
	Index       string
	Body        []byte
	Fingerprint model.Fingerprint
	Wait        time.Duration // how long the caller is willing to wait
	MaxItems    int           // 0 means no limit
	Key         model.Key     // zero for an idempotent request
}

// CallerDisconnected reports that a caller abandoned its request.
type CallerDisconnected struct{ Request model.RequestID }

func (QueryRequest) body()       {}
func (CallerDisconnected) body() {}
