package query

import (
	"errors"
	"time"

	"comfreypulley/core/admit"
	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// unmeteredRetryAfter is when a caller may return that was refused since no VM that issues
// tokens answered: another one is found within this time.
const unmeteredRetryAfter = time.Second

// tokenWait is a request that waits for a token of its customer's limit.
type tokenWait struct {
	request event.QueryRequest
	arrived time.Time
}

// requestToken asks for a token. The request goes on in HandleTokenAnswer.
func (t *Table) requestToken(at time.Time, r event.QueryRequest, out []effect.Effect) []effect.Effect {
	if t.tokenWaits == nil {
		t.tokenWaits = make(map[model.RequestID]tokenWait)
	}
	t.tokenWaits[r.ID] = tokenWait{request: r, arrived: at}
	return append(out, effect.ToControl{Body: event.TokenRequest{Loop: t.start.Loop, Request: r.ID, Customer: r.Customer}})
}

// HandleTokenAnswer goes on with a request that has waited for a token. Its contract may
// have changed meanwhile.
func (t *Table) HandleTokenAnswer(at time.Time, e event.TokenAnswer, out []effect.Effect) []effect.Effect {
	w, ok := t.tokenWaits[e.Request]
	if !ok {
		return out
	}
	delete(t.tokenWaits, e.Request)
	switch {
	case e.Granted:
		out = t.admit(at, w.arrived, w.request, out)
	case e.Unmetered:
		out = t.emitRefusal(e.Request, model.RefusedUnmetered, "no VM that counts the customer's requests answers", model.RanNo, unmeteredRetryAfter, out)
	default:
		out = t.emitRefusal(e.Request, model.RefusedQuota, "the contract's rate leaves no room", model.RanNo, e.Wait, out)
	}
	return t.finish(at, out)
}

// authorize returns the contract and the class of a request, or its refusal.
func (t *Table) authorize(r event.QueryRequest) (contract *model.Contract, class model.Class, refusal *admit.RefusedError) {
	contract, class, err := t.gate.Authorize(r)
	if errors.As(err, &refusal) {
		return nil, class, refusal
	}
	return contract, class, nil
}
