package model

// Limit is the rate of requests that an upstream states to accept from all VMs
// together.
type Limit struct {
	Rate float64 // requests per second
}
