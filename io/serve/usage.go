package serve

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"comfreypulley/core/effect"
)

// usageErrors wraps the errors of opening the usage log.
var usageErrors = errs.Class("usage log")

// UsageLog is the usage log, from which customers are billed: one JSON line for
// each charged request. The zero value writes nothing.
type UsageLog struct {
	mu   sync.Mutex
	file *os.File
}

type usageLine struct {
	At       time.Time `json:"at"`
	Request  uint64    `json:"request"`
	Customer string    `json:"customer"`
	Class    string    `json:"class"`
	Price    int64     `json:"price"`
}

// OpenUsageLog opens a usage log for appending. With an empty name the log writes
// nothing.
func OpenUsageLog(name string) (u *UsageLog, err error) {
	defer usageErrors.WrapP(&err)
	if name == "" {
		return &UsageLog{}, nil
	}
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &UsageLog{file: file}, nil
}

// Write appends a line for a charge. Errors are ignored.
func (u *UsageLog) Write(c effect.Charge) {
	if u.file == nil {
		return
	}
	line, err := json.Marshal(usageLine{
		At: c.At, Request: uint64(c.Request), Customer: c.Customer, Class: c.Class, Price: c.Price,
	})
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	_, _ = u.file.Write(append(line, '\n'))
}

// Close closes the file.
func (u *UsageLog) Close() error {
	if u.file == nil {
		return nil
	}
	return u.file.Close()
}
