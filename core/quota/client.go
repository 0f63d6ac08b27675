package quota

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Times and limits of the requests for tokens.
const (
	askTimeout  = 30 * time.Millisecond // two hops between zones there and back, and the work of two VMs
	avoidSilent = 2 * time.Second       // how long an issuer that has not answered is not asked; longer than it takes until the list of issuers leaves it out
	maxAsks     = 3                     // issuers that are asked for one token, one after another
)

// Client asks issuers for tokens on behalf of the traffic states of an entry VM. The zero
// value knows no issuer.
type Client struct {
	near       []model.VMID // issuers of the own zone, which know which others can be reached
	far        []model.VMID
	avoidUntil map[model.VMID]time.Time
	asks       map[uint64]*ask
	lastSeq    uint64
}

// ask is a request for a token that has no answer yet.
type ask struct {
	request event.TokenRequest
	asked   []model.VMID
	denied  *frame.TokenResponse // the answer of an issuer that does not have the tokens of all others
}

// SetIssuers sets the VMs that issue tokens: those of the own zone, which are asked first,
// and the others.
func (c *Client) SetIssuers(near, far []model.VMID) { c.near, c.far = near, far }

// Start sets the number before that of the first request. A restarted process has to
// begin above those of the one before it.
func (c *Client) Start(seq uint64) { c.lastSeq = seq }

// Ask asks for a token. An event.TokenAnswer to the traffic state follows.
func (c *Client) Ask(at time.Time, request event.TokenRequest, out []effect.Effect) []effect.Effect {
	c.lastSeq++
	if c.asks == nil {
		c.asks = make(map[uint64]*ask)
		c.avoidUntil = make(map[model.VMID]time.Time)
	}
	a := &ask{request: request}
	c.asks[c.lastSeq] = a
	return c.askNext(at, c.lastSeq, a, c.candidates(a), out)
}

// candidates returns the issuers in the order in which they are asked.
func (c *Client) candidates(a *ask) []model.VMID {
	return append(order(a.request.Customer, c.near), order(a.request.Customer, c.far)...)
}

// askNext asks the next of the candidates, or answers when there is none.
func (c *Client) askNext(at time.Time, seq uint64, a *ask, candidates []model.VMID, out []effect.Effect) []effect.Effect {
	if len(a.asked) < maxAsks {
		for _, id := range candidates {
			if slices.Contains(a.asked, id) || at.Before(c.avoidUntil[id]) {
				continue
			}
			a.asked = append(a.asked, id)
			return append(out,
				effect.SendMessage{To: id, Message: frame.TokenRequest{Seq: seq, Customer: a.request.Customer, Late: a.request.Late}},
				effect.SetTimer{ID: timerID(seq), At: at.Add(askTimeout)})
		}
	}
	delete(c.asks, seq)
	answer := event.TokenAnswer{Request: a.request.Request, Unmetered: a.denied == nil}
	if a.denied != nil {
		answer.Wait = a.denied.Wait
	}
	return append(out, effect.StopTimer{ID: timerID(seq)}, effect.ToTraffic{Loop: a.request.Loop, Body: answer})
}

// HandleResponse handles the answer of an issuer. When that does not have the tokens of
// all others, one of those is asked as well.
func (c *Client) HandleResponse(at time.Time, from model.VMID, m frame.TokenResponse, out []effect.Effect) []effect.Effect {
	delete(c.avoidUntil, from)
	a, ok := c.asks[m.Seq]
	if !ok {
		return out
	}
	switch {
	case m.Granted:
		delete(c.asks, m.Seq)
		return append(out, effect.StopTimer{ID: timerID(m.Seq)},
			effect.ToTraffic{Loop: a.request.Loop, Body: event.TokenAnswer{Request: a.request.Request, Granted: true}})
	case !m.Known:
		return c.askNext(at, m.Seq, a, c.candidates(a), out)
	default:
		a.denied = &m
		return c.askNext(at, m.Seq, a, order(a.request.Customer, m.Unreached), out)
	}
}

// HandleTimer handles a timer that Ask has set: an issuer has not answered in time.
func (c *Client) HandleTimer(at time.Time, seq uint64, out []effect.Effect) []effect.Effect {
	a, ok := c.asks[seq]
	if !ok {
		return out
	}
	c.avoidUntil[a.asked[len(a.asked)-1]] = at.Add(avoidSilent)
	return c.askNext(at, seq, a, c.candidates(a), out)
}

func timerID(seq uint64) event.TimerID { return event.TimerID{Kind: event.TimerToken, N: seq} }
