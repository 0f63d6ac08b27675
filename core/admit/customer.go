package admit

import (
	"comfreypulley/core/model"
)

// customerState is the state of one customer.
type customerState struct {
	contract    *model.Contract
	maxInFlight int // this traffic state's quota of the contract's concurrency
	inFlight    int
	retired     bool
}

func (c *customerState) update(contract model.Contract, maxInFlight int) {
	c.contract = &contract
	c.maxInFlight = max(1, maxInFlight)
}
