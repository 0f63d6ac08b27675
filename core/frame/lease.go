package frame

import (
	"time"

	"comfreypulley/core/model"
)

// LeaseRequest requests leases of parts of the customers' fleet-wide
// concurrency limits from the leader, beyond the floor: the part of each limit
// that the VM always has.
type LeaseRequest struct {
	Seq          uint64         `msgpack:"N"`
	ProcessStart time.Time      `msgpack:"Start"`
	Revision     model.Revision // of the configuration from which the VM computes its floors
	Demand       map[string]int // requests in flight and queued beyond the floor, by customer
}

// LeaseResponse answers LeaseRequest. The lease ends Duration after the request
// was sent.
type LeaseResponse struct {
	Seq              uint64         `msgpack:"N"`
	ExtraConcurrency map[string]int `msgpack:"Shares"` // requests in flight allowed beyond the floor, by customer
	Duration         time.Duration  `msgpack:"Length"`

	LimitsRevision model.Revision `msgpack:"Moved"`   // of the leader's model.Topology
	LimitsAge      time.Duration  `msgpack:"Settled"` // how long LimitsRevision has been in force at the leader
}

// Kind returns KindLeaseRequest.
func (LeaseRequest) Kind() Kind { return KindLeaseRequest }

// Kind returns KindLeaseResponse.
func (LeaseResponse) Kind() Kind { return KindLeaseResponse }
