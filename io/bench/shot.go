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
	answerSlack = 2 * time.Second       // beyond the wait, after which an answer counts as lost
	resendAfter = 50 * time.Millisecond // between the sends of a request
)

// run sends the request, and sends it again through other targets as its
// caller says.
func (s *shot) run(ctx context.Context) {
	defer s.load.wg.Done()
	l, r := s.load, &s.result
	if r.Caller.Run {
		r.Key = model.NewKey(time.Now(), s.random)
	}
	for n := 0; ; n++ {
		target := l.Targets[(s.first+n)%len(l.Targets)]
		r.Tries = append(r.Tries, s.send(ctx, target))
		if n >= r.Caller.Resends || !again(r) || !sleep(ctx, resendAfter) {
			break
		}
	}
	r.Took = time.Since(l.began) - r.Planned
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, *r)
}

// again reports whether the caller sends the request again: a lost answer, an
// outcome that is not known yet, or a failure of a marked query.
func again(r *Result) bool {
	last := r.Last()
	switch {
	case last.Status == http.StatusOK:
		return false
	case last.Status == 0 || r.Caller.Crash:
		return true
	default:
		return r.Caller.Run && (last.Answer.Reason == string(model.RefusedPending) || last.Answer.Reason == string(model.RefusedMajority))
	}
}

func (s *shot) send(ctx context.Context, target netip.AddrPort) Try {
	t := Try{Target: target}
	c := s.result.Caller
	ctx, cancel := context.WithTimeout(ctx, c.Wait+answerSlack)
	defer cancel()
	path := "query"
	if c.Run {
		path = "run"
	}
	body := fmt.Appendf(nil, `{"index":%q,"query":%s,"limit":%d}`, c.Index, s.result.Query, c.Limit)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/%s", target, path), bytes.NewReader(body))
	if err != nil {
		return t
	}
	// Without GetBody the client sends a request only once, so that each send
	// is one in the results.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.Customer+"."+c.Secret)
	request.Header.Set("Wait", c.Wait.String())
	if c.Run {
		request.Header.Set("Idempotency-Key", s.result.Key.String())
	}
	response, err := s.load.client.Do(request)
	if err != nil {
		return t
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(raw, &t.Answer) != nil {
		t.Answer = Answer{}
		return t
	}
	t.Status, t.Origin = response.StatusCode, response.Header.Get("Origin")
	return t
}

// sleep waits and reports false when ctx ends first.
func sleep(ctx context.Context, period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
