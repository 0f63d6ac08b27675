package model

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"slices"
	"time"
)

// Upper bounds of contract fields.
const (
	MaxClasses   = 16
	MaxClassWait = time.Minute
	MaxRetention = 7 * 24 * time.Hour
)

// Class is a service class of a contract: the longer the caller waits, the lower
// the price.
type Class struct {
	Name        string        // shown in answers and the usage log
	Wait        time.Duration // least wait that a caller must state; also the deadline of its request
	Price       int64         // charge for an answered request, in thousandths of the contract's currency unit
	Weight      float64       // scheduling weight relative to the contract's other classes
	MinCoverage float64       `msgpack:"Coverage"` // least fraction of the shards that an answer must cover, 0 to 1
}

// Contract states what one customer may do and what it pays.
type Contract struct {
	Customer    string
	Credential  [sha256.Size]byte // hash of the secret; the secret itself is not stored
	Indexes     []string          // indexes the customer may query
	Concurrency int               // limit of requests in flight in the whole fleet
	Capacity    float64           // greatest fraction of upstream slots the customer may use while others wait, 0 to 1
	RetryBudget float64           `msgpack:"Extra"` // limit of retries and hedges as a fraction of first attempts, 0 to 1
	Retention   time.Duration     // how long after its creation an idempotency key can be used
	Classes     []Class           // ascending by wait
	Retired     bool              // the customer's requests are refused
	Keys        []KeyHash         // hashes of further secrets, such as during a change of the secret
	Limit       RateLimit         // of the requests of the whole fleet
	Revision    Revision          // of the last change to this contract
}

// ContractError reports a contract field with an invalid value.
type ContractError struct {
	Customer string
	Field    string
	Problem  string
}

// Error implements error.
func (e *ContractError) Error() string {
	return fmt.Sprintf("contract %q: %s %s", e.Customer, e.Field, e.Problem)
}

// ClassFor returns the class with the longest wait that does not exceed the wait
// stated by the caller. It reports false when every class requires a longer wait.
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
	accepted := subtle.ConstantTimeCompare(c.Credential[:], credential[:])
	for i := range c.Keys {
		accepted |= subtle.ConstantTimeCompare(c.Keys[i][:], credential[:])
	}
	return accepted == 1
}

// Allows reports whether the contract includes the index.
func (c *Contract) Allows(index string) bool {
	return slices.Contains(c.Indexes, index)
}

// Validate returns a *ContractError for the first field with an invalid value.
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
	case !isFraction(c.Capacity) || c.Capacity == 0:
		return problem("capacity", "must be above 0 and at most 1, not %v", c.Capacity)
	case !isFraction(c.RetryBudget):
		return problem("extra", "must be between 0 and 1, not %v", c.RetryBudget)
	case c.Retention <= 0 || c.Retention > MaxRetention:
		return problem("retention", "must be above 0 and at most %v, not %v", MaxRetention, c.Retention)
	case !(c.Limit.Rate >= 0) || !(c.Limit.Burst >= 0):
		return problem("rate", "and burst must not be negative")
	case len(c.Classes) == 0 || len(c.Classes) > MaxClasses:
		return problem("classes", "must have 1 to %d entries, not %d", MaxClasses, len(c.Classes))
	}
	for i, class := range c.Classes {
		if err := class.validate(c.Customer); err != nil {
			return err
		}
		if i == 0 {
			continue
		}
		previous := c.Classes[i-1]
		if class.Wait <= previous.Wait {
			return problem("class "+class.Name, "wait must be above that of class %s", previous.Name)
		}
		if class.Price > previous.Price {
			return problem("class "+class.Name, "costs more than class %s, which waits less", previous.Name)
		}
	}
	return nil
}

func (c *Class) validate(customer string) error {
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
	case !isFraction(c.MinCoverage):
		return problem("coverage must be between 0 and 1, not %v", c.MinCoverage)
	}
	return nil
}

func isFraction(v float64) bool {
	return v >= 0 && v <= 1
}
