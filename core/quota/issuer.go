package quota

import (
	"slices"
	"time"

	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Times of the issuers.
const (
	ExchangePeriod = 100 * time.Millisecond // between two messages to each other issuer
	AccrualPeriod  = 250 * time.Millisecond // for which an issuer keeps what it accrues for another one; longer than ExchangePeriod, since messages are late at times
	silentAfter    = 500 * time.Millisecond // without a message from an issuer, it counts as cut off
	maxWait        = 5 * time.Second        // longest time that a refused caller is told; the limit may change meanwhile
)

// Issuer issues the tokens of all customers' limits, as far as they accrue at this VM or
// come to it from other issuers. Set Self before use.
type Issuer struct {
	Self model.VMID

	all     []model.VMID // the VMs with disks, among which limits are divided
	others  map[model.VMID]*otherIssuer
	heard   []model.VMID // the issuers whose messages arrive, and this one; ascending
	buckets map[string]*bucket
}

// otherIssuer is what another issuer has told.
type otherIssuer struct {
	heardAt time.Time
	hears   []model.VMID // the issuers that it hears, and itself
}

// Answer is the answer to a request for a token.
type Answer struct {
	Granted   bool
	Known     bool          // the customer has a limit here
	Wait      time.Duration // until a token is expected, when none was granted
	Unreached []model.VMID  // issuers whose tokens do not come to this one
}

// Heard returns the issuers whose messages arrive, and this one, ascending.
func (s *Issuer) Heard(at time.Time) []model.VMID {
	s.updateView(at)
	return s.heard
}

// Active reports whether any customer has a limit.
func (s *Issuer) Active() bool { return len(s.buckets) > 0 }

// SetLimits sets the VMs among which limits are divided, ascending, and the limits by
// customer. A new bucket is empty, because the tokens may have been spent before; only when
// this VM starts, it has its part of the tokens that are kept for that.
func (s *Issuer) SetLimits(at time.Time, all []model.VMID, limits map[string]Limit) {
	starting := s.buckets == nil
	if starting {
		s.buckets = make(map[string]*bucket)
	}
	for customer, b := range s.buckets {
		if _, ok := limits[customer]; !ok {
			delete(s.buckets, customer)
			continue
		}
		b.refill(at, s.rate(b)) // up to now at the old rate
	}
	s.all = slices.Clone(all)
	for customer, limit := range limits {
		b, ok := s.buckets[customer]
		if !ok {
			b = &bucket{at: at}
			if starting {
				b.tokens = limit.Start / float64(max(1, len(all)))
				b.capacity = b.tokens
			}
			s.buckets[customer] = b
		}
		b.limit = limit.RateLimit
	}
	s.heard = nil
	s.updateView(at)
}

// rate returns what accrues at this VM, in tokens per second.
func (s *Issuer) rate(b *bucket) float64 {
	return b.limit.Rate / float64(max(1, len(s.all)))
}

// updateView notes which issuers are heard, and divides the customers anew when that has
// changed.
func (s *Issuer) updateView(at time.Time) {
	heard := make([]model.VMID, 0, len(s.all))
	for _, id := range s.all {
		if o, ok := s.others[id]; id == s.Self || ok && at.Sub(o.heardAt) < silentAfter {
			heard = append(heard, id)
		}
	}
	if slices.Equal(heard, s.heard) {
		return
	}
	s.heard = heard
	for customer, b := range s.buckets {
		s.divide(at, customer, b)
	}
}

// divide finds the home of a customer and whose tokens come to it. The home keeps its own
// part of the burst and that of the issuers which send it tokens. Any other issuer keeps
// what accrues until its next message.
func (s *Issuer) divide(at time.Time, customer string, b *bucket) {
	rate := s.rate(b)
	b.refill(at, rate)
	b.home, b.unreached, b.parts = first(customer, s.heard), nil, 1
	if b.home != s.Self {
		b.capacity = max(b.tokens, rate*AccrualPeriod.Seconds())
		b.refill(at, rate)
		return
	}
	for _, id := range s.all {
		switch {
		case id == s.Self:
		case slices.Contains(s.heard, id) && first(customer, s.others[id].hears) == s.Self:
			b.parts++
		default:
			b.unreached = append(b.unreached, id)
		}
	}
	// At least one token, without which a small limit would allow nothing.
	b.capacity = max(1, b.limit.Burst*float64(b.parts)/float64(max(1, len(s.all))))
	b.refill(at, rate)
}

// lateReserve is the part of the tokens that a home keeps for requests which can still be
// answered in time. Callers that were refused return; when they took the tokens, those who
// come for the first time would be refused, and return late in their turn.
const lateReserve = 0.5

// Take takes a token of a customer, for a request that is late or not. home is set when another issuer has to be asked, and
// empty otherwise.
func (s *Issuer) Take(at time.Time, customer string, late bool) (answer Answer, home model.VMID) {
	b, ok := s.buckets[customer]
	if !ok {
		return Answer{}, ""
	}
	answer.Known = true
	if b.home != s.Self {
		return answer, b.home
	}
	b.refill(at, s.rate(b))
	scarce := b.tokens < lateReserve*b.capacity
	if answer.Granted = (!late || !scarce) && b.take(); !answer.Granted {
		answer.Unreached = b.unreached
		answer.Wait = b.wait(at, s.rate(b)*float64(b.parts))
	}
	return answer, ""
}

// Exchange returns the next messages to the other issuers: the customers for which this
// VM needs tokens, and the tokens that the receiver has asked for.
func (s *Issuer) Exchange(at time.Time) map[model.VMID]frame.TokenExchange {
	s.updateView(at)
	messages := make(map[model.VMID]frame.TokenExchange, len(s.all))
	var wanted []string
	tokens := make(map[model.VMID]map[string]float64)
	for customer, b := range s.buckets {
		b.refill(at, s.rate(b))
		switch {
		case b.home == s.Self:
			if b.tokens < b.capacity {
				wanted = append(wanted, customer)
			}
		case b.wantedBy == b.home && b.tokens > 0:
			if tokens[b.home] == nil {
				tokens[b.home] = make(map[string]float64)
			}
			tokens[b.home][customer] = b.tokens
			b.tokens = 0
		}
		b.wantedBy = ""
	}
	slices.Sort(wanted)
	for _, id := range s.all {
		if id != s.Self {
			messages[id] = frame.TokenExchange{Hears: s.heard, Wanted: wanted, Tokens: tokens[id]}
		}
	}
	return messages
}

// HandleExchange handles a message of another issuer.
func (s *Issuer) HandleExchange(at time.Time, from model.VMID, m frame.TokenExchange) {
	if s.others == nil {
		s.others = make(map[model.VMID]*otherIssuer)
	}
	o, ok := s.others[from]
	if !ok || !slices.Equal(o.hears, m.Hears) {
		s.heard = nil // its tokens may come to another issuer than before
	}
	s.others[from] = &otherIssuer{heardAt: at, hears: m.Hears}
	s.updateView(at)
	for customer, tokens := range m.Tokens {
		if b, ok := s.buckets[customer]; ok && tokens > 0 {
			b.refill(at, s.rate(b))
			b.tokens = min(b.capacity, b.tokens+tokens)
		}
	}
	for _, customer := range m.Wanted {
		if b, ok := s.buckets[customer]; ok && b.home == from {
			b.wantedBy = from
		}
	}
}
