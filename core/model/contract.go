package model

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"slices"
	"time"
)

// Limits of contract fields.
const (
	MaxClasses   = 16
	MaxClassWait = time.Minute
	MaxRetention = 7 * 24 * time.Hour
)

// Class is one entry of a contract's price list.
type Class struct {
	Name        string        // name shown in answers and the usage log
	Wait        time.Duration // least wait a caller must state, and the deadline of its request
	Price       int64         // charge for an answered request, in thousandths of the contract's currency unit
	Weight      float64       // share of turns relative to the contract's other classes
	MinCoverage float64       `msgpack:"Coverage"` // least share of shards an answer must cover, 0 to 1
}

// Contract is what one customer may do and pays for it.
type Contract struct {
	Customer    string
	Credential  [sha256.Size]byte // hash of the secret; the secret itself is not stored
	Indexes     []string          // indexes the customer may query
	Concurrency int               // requests in flight over the whole fleet
	Capacity    float64           // share of upstream slots the customer may hold while others wait, 0 to 1
	RetryBudget float64           `msgpack:"Extra"` // retries and hedges as a share of first attempts, 0 to 1
	Retention   time.Duration     // how long an idempotency key may be resent
	Classes     []Class           // ascending by wait
	Retired     bool
	Revision    Revision // of the last change
}

// ContractError reports a contract field with an unusable value.
type ContractError struct {
	Customer string
	Field    string
	Problem  string
}

// Error implements error.
func (e *ContractError) Error() string {
	return fmt.Sprintf("contract %q: %s %s", e.Customer, e.Field, e.Problem)
}

// ClassFor returns the class with the longest wait that is not above the wait
// the caller stated. It reports false when the caller waits less than every
// class asks for.
func (c *Contract) ClassFor(wait time.Duration) (Class, bool) {
	var found Class
	ok := false
	for _, class := range c.Classes {
		if class.Wait <= wait && (!ok || class.Wait > found.Wait) {
			found, ok = class, true
		}
	}
	return found, ok
}

// Accepts reports whether the credential hash belongs to the contract.
func (c *Contract) Accepts(credential [sha256.Size]byte) bool {
	return subtle.ConstantTimeCompare(c.Credential[:], credential[:]) == 1
}

// Allows reports whether the contract includes the index.
func (c *Contract) Allows(index string) bool {
	return slices.Contains(c.Indexes, index)
}

// Validate returns a *ContractError for the first field with an unusable value.
func (c *Contract) Validate() error {
	problem := func(field, format string, args ...any) error {
		return &ContractError{Customer: c.Customer, Field: field, Problem: fmt.Sprintf(format, args...)}
	}
	switch {
	case c.Customer == "":
		return problem("customer", "must not be empty")
	case len(c.Indexes) == 0:
		return problem("indexes", "must name at least one index")
	case c.Concurrency < 1:
		return problem("concurrency", "must be at least 1, not %d", c.Concurrency)
	case !share(c.Capacity) || c.Capacity == 0:
		return problem("capacity", "must be above 0 and at most 1, not %v", c.Capacity)
	case !share(c.RetryBudget):
		return problem("extra", "must be between 0 and 1, not %v", c.RetryBudget)
	case c.Retention <= 0 || c.Retention > MaxRetention:
		return problem("retention", "must be above 0 and at most %v, not %v", MaxRetention, c.Retention)
	case len(c.Classes) == 0 || len(c.Classes) > MaxClasses:
		return problem("classes", "must have 1 to %d entries, not %d", MaxClasses, len(c.Classes))
	}
	for i, class := range c.Classes {
		if err := class.check(c.Customer); err != nil {
			return err
		}
		if i == 0 {
			continue
		}
		before := c.Classes[i-1]
		if class.Wait <= before.Wait {
			return problem("class "+class.Name, "wait must be above that of class %s", before.Name)
		}
		if class.Price > before.Price {
			return problem("class "+class.Name, "costs more than class %s, which waits less", before.Name)
		}
	}
	return nil
}

func (c *Class) check(customer string) error {
	problem := func(format string, args ...any) error {
		return &ContractError{Customer: customer, Field: "class " + c.Name, Problem: fmt.Sprintf(format, args...)}
	}
	switch {
	case c.Name == "":
		return problem("has no name")
	case c.Wait <= 0 || c.Wait > MaxClassWait:
		return problem("wait must be above 0 and at most %v, not %v", MaxClassWait, c.Wait)
	case c.Price < 0:
		return problem("price must not be negative")
	case !(c.Weight > 0):
		return problem("weight must be above 0, not %v", c.Weight)
	case !share(c.MinCoverage):
		return problem("coverage must be between 0 and 1, not %v", c.MinCoverage)
	}
	return nil
}

func share(v float64) bool {
	return v >= 0 && v <= 1
}
