// Package quota keeps the requests of each customer within its limit over the whole
// fleet: a rate and a burst.
//
// A limit is a token bucket that is divided among the VMs with disks. Each of them
// accrues an equal part of the rate. For every customer one of them, the home, is first
// in an order that all VMs compute alike; the others send it what they have accrued while
// it needs tokens. An entry VM asks the home for a token before it admits a request. When
// the fleet is cut into parts, each part has a home of its own, which has the tokens that
// the VMs of its part accrue. No token exists twice, so that the sum holds in a cut, after
// a restart and for a VM that was paused; a lost message loses tokens.
//
// # Usage
//
// On a VM with a disk:
//
//	s := quota.Issuer{Self: id}
//	s.SetLimits(at, vms, limits)         // after a change of the configuration
//	answer, home := s.Take(at, customer, late) // home is another VM that has to be asked instead
//	messages := s.Exchange(at)           // every ExchangePeriod, by receiver
//	s.HandleExchange(at, from, message)
//
// On an entry VM:
//
//	c := quota.Client{}
//	c.SetIssuers(near, far)
//	out = c.Ask(at, request, out)            // ends in an event.TokenAnswer
//	out = c.HandleResponse(at, from, m, out) // of an issuer
//	out = c.HandleTimer(at, seq, out)        // event.TimerToken: no answer in time
//
// Rates are requests per second. In any period the admitted requests of a customer are at
// most the rate times its length, plus the burst, plus what accrues in AccrualPeriod, plus
// one for each part of a fleet that is cut.
package quota
