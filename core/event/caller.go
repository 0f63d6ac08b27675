package event

import (
	"crypto/sha256"
	"time"

	"comfreypulley/core/model"
)

// QueryRequest is a caller's request. Its deadline follows from the contract's
// class for Wait, counted from the event's time.
type QueryRequest struct {
	ID          model.RequestID
	Customer    string
	Credential  [sha256.Size]byte // hash of the secret the caller presented
	Index       string
	Body        []byte
	Fingerprint model.Fingerprint
	Wait        time.Duration
	MaxItems    int       // items at most; 0 means no limit
	Key         model.Key // zero for an idempotent request
}

// CallerDisconnected tells that the caller closed its request.
type CallerDisconnected struct{ Request model.RequestID }

func (QueryRequest) body()       {}
func (CallerDisconnected) body() {}
