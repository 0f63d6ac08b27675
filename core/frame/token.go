package frame

import (
	"time"

	"comfreypulley/core/model"
)

// TokenRequest asks a disk VM for one token of a customer's limit of requests. One that
// does not have the customer's tokens asks the VM that has, with Relayed set.
type TokenRequest struct {
	Seq      uint64 `msgpack:"N"`
	Customer string
	Relayed  bool `msgpack:",omitempty"`
	Late     bool `msgpack:",omitempty"` // gives way to other requests while tokens are scarce
}

// TokenResponse answers TokenRequest.
type TokenResponse struct {
	Seq       uint64        `msgpack:"N"`
	Granted   bool          `msgpack:",omitempty"`
	Known     bool          `msgpack:",omitempty"` // the customer has a limit in the sender's configuration
	Wait      time.Duration `msgpack:",omitempty"` // until a token is expected, when none was granted
	Unreached []model.VMID  `msgpack:",omitempty"` // disk VMs whose tokens do not come to the sender
}

// TokenExchange passes tokens between the disk VMs that issue them.
type TokenExchange struct {
	Hears  []model.VMID       // the disk VMs whose messages arrive at the sender, and the sender
	Wanted []string           `msgpack:",omitempty"` // customers for which the sender needs tokens
	Tokens map[string]float64 `msgpack:",omitempty"` // by customer, for the receiver to issue
}

// Kind returns KindTokenRequest.
func (TokenRequest) Kind() Kind { return KindTokenRequest }

// Kind returns KindTokenResponse.
func (TokenResponse) Kind() Kind { return KindTokenResponse }

// Kind returns KindTokenExchange.
func (TokenExchange) Kind() Kind { return KindTokenExchange }
