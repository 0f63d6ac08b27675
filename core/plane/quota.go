package plane

import (
	"maps"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
	"comfreypulley/core/quota"
)

// tokens is this VM's part in keeping customers to their limits: a disk VM issues tokens,
// and an entry VM asks for them. In the zero value no customer has a limit.
type tokens struct {
	issuer     quota.Issuer
	client     quota.Client
	exchanging bool                // the timer of the exchange is set
	issues     map[model.VMID]bool // the other disk VMs that have announced that they issue tokens
	relays     map[uint64]relay    // requests that were passed on to another disk VM
	lastRelay  uint64
}

// relay is a request for a token that this VM has passed on.
type relay struct {
	from model.VMID
	seq  uint64
	at   time.Time
}

const (
	relaySeqs    = uint64(1) << 63             // added to the numbers of relays, to tell their answers from those to this VM's own requests
	issuePeriod  = removeAfter - 2*time.Second // without contact with a majority, after which this VM may soon be removed and its part given to the others
	relayTimeout = time.Second                 // after which a relay without an answer is forgotten
)

// customerLimits returns the limits of contracts and of the document's teams.
func customerLimits(t *model.Topology, tolerance model.QuotaTolerance) map[string]quota.Limit {
	limits := make(map[string]quota.Limit)
	for name, contract := range t.Contracts {
		if contract.Limit.Limited() && !contract.Retired {
			limits[name] = quota.Extend(contract.Limit, tolerance)
		}
	}
	if t.Document == nil {
		return limits
	}
	names := t.Document.LimitNames()
	for i, team := range t.Document.Teams {
		if team.Limit.Limited() {
			limits[names[i]] = quota.Extend(team.Limit, tolerance)
		}
	}
	return limits
}

// updateTokens applies the configuration in force. In a fleet without disk VMs every VM
// issues an equal part of the limits to itself.
func (c *Control) updateTokens(at time.Time, t *model.Topology, out []effect.Effect) []effect.Effect {
	limits := customerLimits(t, c.settings.Tolerance)
	disks := c.diskVMs()
	k := &c.tokens
	switch {
	case !c.replicated:
		k.client.SetIssuers([]model.VMID{c.settings.VM.ID}, nil)
		k.issuer.SetLimits(at, slices.Sorted(maps.Keys(t.VMs)), limits)
		return out
	case !c.settings.SelfRegistration:
		c.setIssuers(disks)
	}
	if !c.settings.VM.HasDisk {
		return out
	}
	k.issuer.SetLimits(at, disks, limits)
	if !k.issuer.Active() || k.exchanging {
		return out
	}
	k.exchanging = true
	return appendTimer(event.TimerTokenExchange, at.Add(quota.ExchangePeriod), out)
}

// timerTokenExchange passes tokens between the disk VMs.
func (c *Control) timerTokenExchange(at time.Time, out []effect.Effect) []effect.Effect {
	k := &c.tokens
	if k.exchanging = k.issuer.Active(); !k.exchanging {
		return out
	}
	if !c.mayIssue(at) {
		return appendTimer(event.TimerTokenExchange, at.Add(quota.ExchangePeriod), out)
	}
	messages := k.issuer.Exchange(at)
	for _, id := range slices.Sorted(maps.Keys(messages)) {
		if c.issuesTokens(id) {
			out = append(out, effect.SendMessage{To: id, Message: messages[id]})
		}
	}
	maps.DeleteFunc(k.relays, func(_ uint64, r relay) bool { return at.Sub(r.at) >= relayTimeout })
	return appendTimer(event.TimerTokenExchange, at.Add(quota.ExchangePeriod), out)
}

// mayIssue reports whether this VM still has its part of the limits. The others divide
// them without it once it has been removed, which they do when it is silent.
func (c *Control) mayIssue(at time.Time) bool {
	return c.log == nil || at.Sub(c.log.LogStatus().LastMajority) < issuePeriod
}

// issuesTokens reports whether another disk VM issues tokens. A VM of an earlier build
// drops the connection when it receives a message about tokens.
func (c *Control) issuesTokens(id model.VMID) bool {
	return !c.settings.SelfRegistration || c.tokens.issues[id]
}

// issuers returns the disk VMs that this one hears and that issue tokens, for the entry
// VMs; nil while no customer has a limit.
func (c *Control) issuers(at time.Time) []model.VMID {
	if !c.tokens.issuer.Active() || !c.mayIssue(at) {
		return nil
	}
	return c.tokens.issuer.Heard(at)
}

// setIssuers sets the VMs that this one asks for tokens.
func (c *Control) setIssuers(issuers []model.VMID) {
	var near, far []model.VMID
	for _, id := range issuers {
		if c.zoneOf(id) == c.settings.VM.Zone {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	c.tokens.client.SetIssuers(near, far)
}

// HandleTokenRequest handles a traffic state's request for a token.
func (c *Control) HandleTokenRequest(at time.Time, e event.TokenRequest, out []effect.Effect) []effect.Effect {
	return c.complete(len(out), c.tokens.client.Ask(at, e, out))
}

// peerTokens handles messages about tokens.
func (c *Control) peerTokens(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	k := &c.tokens
	switch m := m.(type) {
	case frame.TokenRequest:
		return c.peerTokenRequest(at, from, m, out)
	case frame.TokenResponse:
		r, ok := k.relays[m.Seq]
		if !ok {
			return k.client.HandleResponse(at, from, m, out)
		}
		delete(k.relays, m.Seq)
		m.Seq = r.seq
		return append(out, effect.SendMessage{To: r.from, Message: m})
	case frame.TokenExchange:
		k.issuer.HandleExchange(at, from, m)
	}
	return out
}

// peerTokenRequest answers a request for a token, or passes it on to the disk VM that has
// the customer's tokens.
func (c *Control) peerTokenRequest(at time.Time, from model.VMID, m frame.TokenRequest, out []effect.Effect) []effect.Effect {
	k := &c.tokens
	if !c.mayIssue(at) {
		return append(out, effect.SendMessage{To: from, Message: frame.TokenResponse{Seq: m.Seq}})
	}
	answer, home := k.issuer.Take(at, m.Customer, m.Late)
	if home != "" && !m.Relayed {
		if k.relays == nil {
			k.relays = make(map[uint64]relay)
		}
		k.lastRelay++
		seq := relaySeqs | k.lastRelay
		k.relays[seq] = relay{from: from, seq: m.Seq, at: at}
		return append(out, effect.SendMessage{To: home, Message: frame.TokenRequest{Seq: seq, Customer: m.Customer, Relayed: true, Late: m.Late}})
	}
	return append(out, effect.SendMessage{To: from, Message: frame.TokenResponse{
		Seq: m.Seq, Granted: answer.Granted, Known: answer.Known && home == "", Wait: answer.Wait, Unreached: answer.Unreached,
	}})
}
