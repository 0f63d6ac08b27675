package admit

import (
	"comfreypulley/core/model"
)

// customerState is the state of one customer.
type customerState struct {
	contract    *model.Contract
	maxInFlight int // this traffic state's quota of the contract's concurrency
	floor       int // the part of the quota that is not leased
	inFlight    int
	retired     bool
}

// update applies a contract and a quota, of which a part is leased.
func (c *customerState) update(contract model.Contract, maxInFlight, leased int) {
	c.contract = &contract
	c.maxInFlight = max(1, maxInFlight)
	c.floor = max(1, maxInFlight-leased)
}
