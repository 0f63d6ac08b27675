package admit

import (
	"comfreypulley/core/model"
)

// tenant is what the gate knows of one customer.
type tenant struct {
	contract *model.Contract
	limit    int // requests in flight at most
	running  int
	retired  bool
}

func (t *tenant) set(contract model.Contract, limit int) {
	t.contract = &contract
	t.limit = max(1, limit)
}
