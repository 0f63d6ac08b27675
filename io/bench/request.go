package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"comfreypulley/core/model"
)

const (
	answerGrace = 2 * time.Second       // time after the caller's wait until an answer counts as lost
	resendDelay = 50 * time.Millisecond // between the sends of a request
)

// run sends the request and, when necessary, resends it to the next targets.
func (p *plannedRequest) run(ctx context.Context) {
	defer p.load.wg.Done()
	l, r := p.load, &p.result
	if r.Caller.NonIdempotent {
		r.Key = model.NewKey(time.Now(), p.keyBytes)
	}
	for n := 0; ; n++ {
		target := l.Targets[(p.firstTarget+n)%len(l.Targets)]
		r.Sends = append(r.Sends, p.send(ctx, target))
		if n >= r.Caller.MaxResends || !shouldResend(r) || !sleep(ctx, resendDelay) {
			break
		}
	}
	r.Latency = time.Since(l.startedAt) - r.PlannedAt
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, *r)
}

// shouldResend reports whether the caller resends the request: after a lost
// answer, after any failure of a query that crashes upstreams, and after a refusal
// of a non-idempotent request whose outcome may become known later.
func shouldResend(r *Result) bool {
	last := r.Last()
	switch {
	case last.Status == http.StatusOK:
		return false
	case last.Status == 0 || r.Caller.CrashesUpstream:
		return true
	default:
		return r.Caller.NonIdempotent &&
			(last.Answer.Reason == string(model.RefusedPending) || last.Answer.Reason == string(model.RefusedMajority))
	}
}

func (p *plannedRequest) send(ctx context.Context, target netip.AddrPort) Send {
	s := Send{Target: target}
	c := p.result.Caller
	ctx, cancel := context.WithTimeout(ctx, c.Wait+answerGrace)
	defer cancel()
	path := "query"
	if c.NonIdempotent {
		path = "run"
	}
	body := fmt.Appendf(nil, `{"index":%q,"query":%s,"limit":%d}`, c.Index, p.result.Query, c.MaxItems)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/%s", target, path), bytes.NewReader(body))
	if err != nil {
		return s
	}
	// Without GetBody the HTTP client does not retry a request by itself, so that
	// the results include every send.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.Customer+"."+c.Secret)
	request.Header.Set("Wait", c.Wait.String())
	if c.NonIdempotent {
		request.Header.Set("Idempotency-Key", p.result.Key.String())
	}
	response, err := p.load.client.Do(request)
	if err != nil {
		return s
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(raw, &s.Answer) != nil {
		s.Answer = Answer{}
		return s
	}
	s.Status, s.EntryVM = response.StatusCode, response.Header.Get("Origin")
	return s
}

// sleep pauses for d. It reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
