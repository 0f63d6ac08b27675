package frame

import (
	"comfreypulley/core/model"
)

// Ping asks a VM whether it is alive.
type Ping struct {
	Seq uint64 `msgpack:"N"`
}

// Pong answers Ping.
type Pong struct {
	Seq uint64 `msgpack:"N"`
}

// IndirectPing asks a VM to ping another VM that the sender cannot reach.
type IndirectPing struct {
	Seq    uint64 `msgpack:"N"`
	Target model.VMID
}

// IndirectPong answers IndirectPing.
type IndirectPong struct {
	Seq    uint64 `msgpack:"N"`
	Target model.VMID
	Alive  bool
}

// Kind returns KindPing.
func (Ping) Kind() Kind { return KindPing }

// Kind returns KindPong.
func (Pong) Kind() Kind { return KindPong }

// Kind returns KindIndirectPing.
func (IndirectPing) Kind() Kind { return KindIndirectPing }

// Kind returns KindIndirectPong.
func (IndirectPong) Kind() Kind { return KindIndirectPong }
