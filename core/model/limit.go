package model

import "time"

// Limit is the rate of requests that an upstream states to accept from all VMs
// together.
type Limit struct {
	Rate float64 // requests per second
}

// LimitReport is what a VM knows about the limit of an upstream, and how much of
// it the VM would use.
type LimitReport struct {
	Upstream UpstreamID
	Limit    *Limit        // nil when the upstream states none any more
	Age      time.Duration // of the answer that this is known from
	Wanted   float64       // requests per second that the VM, or VMs, would send without a limit
}

// LimitShare is a VM's part of the limit of an upstream.
type LimitShare struct {
	Upstream UpstreamID
	Limit    *Limit        // nil when the upstream states none any more
	Age      time.Duration // of the answer that this is known from
	Fraction float64       // of what is divided by demand; the fractions of all VMs add up to 1 at most
}
