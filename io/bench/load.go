package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Load sends queries at a steady rate, spread over the targets in turn.
type Load struct {
	Targets  []netip.AddrPort
	Customer string
	Secret   string
	Index    string
	Wait     time.Duration
	Rate     float64 // queries a second
	Period   time.Duration
	Bodies   int // distinct queries; 0 means every query differs
	Limit    int

	mu      sync.Mutex
	report  *Report
	results []Result
	wg      sync.WaitGroup
}

// Result is one request as its caller saw it.
type Result struct {
	Query  []byte
	Status int // 0 when no answer came
	Took   time.Duration
	Target netip.AddrPort
	Answer Answer
}

// Answer is the body of an answer or refusal.
type Answer struct {
	Request  uint64 `json:"request"`
	Snapshot uint64 `json:"snapshot"`
	Items    []struct {
		ID   string  `json:"id"`
		Rank float64 `json:"rank"`
		Data string  `json:"data"`
	} `json:"items"`
	Coverage struct {
		Answered int   `json:"answered"`
		Total    int   `json:"total"`
		Missing  []int `json:"missing"`
	} `json:"coverage"`
	Class  string `json:"class"`
	Price  int64  `json:"price"`
	Ran    string `json:"ran"`
	Reason string `json:"reason"`
	Detail string `json:"detail"`
}

// Run sends the load and waits for the last answer.
func (l *Load) Run(ctx context.Context) (report *Report, results []Result, err error) {
	if len(l.Targets) == 0 || l.Rate <= 0 {
		return nil, nil, fmt.Errorf("load: needs targets and a rate above 0, not %d and %v", len(l.Targets), l.Rate)
	}
	l.report = newReport()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, MaxIdleConns: 4096}}
	defer client.CloseIdleConnections()
	interval := time.Duration(float64(time.Second) / l.Rate)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.NewTimer(l.Period)
	defer end.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			c := &shot{load: l, client: client, n: n}
			l.wg.Add(1)
			go c.run(ctx)
			continue
		case <-end.C:
		case <-ctx.Done():
		}
		break
	}
	l.wg.Wait()
	l.report.finish()
	return l.report, l.results, nil
}

// shot is one request of a load.
type shot struct {
	load   *Load
	client *http.Client
	n      int
}

func (s *shot) run(ctx context.Context) {
	defer s.load.wg.Done()
	l := s.load
	r := Result{Target: l.Targets[s.n%len(l.Targets)], Query: s.query()}
	began := time.Now()
	r.Status, r.Answer = s.exchange(ctx, r)
	r.Took = time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
	l.report.count(r)
}

func (s *shot) query() []byte {
	n := s.n
	if s.load.Bodies > 0 {
		n %= s.load.Bodies
	}
	return fmt.Appendf(nil, `{"n":%d}`, n)
}

func (s *shot) exchange(ctx context.Context, r Result) (int, Answer) {
	l := s.load
	var a Answer
	body := fmt.Appendf(nil, `{"index":%q,"query":%s,"limit":%d}`, l.Index, r.Query, l.Limit)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/query", r.Target), bytes.NewReader(body))
	if err != nil {
		return 0, a
	}
	request.Header.Set("Authorization", "Bearer "+l.Customer+"."+l.Secret)
	request.Header.Set("Wait", l.Wait.String())
	response, err := s.client.Do(request)
	if err != nil {
		return 0, a
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(raw, &a) != nil {
		return 0, a
	}
	return response.StatusCode, a
}

// count adds a result to the report.
func (r *Report) count(result Result) {
	r.Queries++
	switch {
	case result.Status == 0:
		r.Failed++
		return
	case result.Status != http.StatusOK:
		r.Refused++
		r.Reasons[result.Answer.Reason]++
		return
	case result.Answer.Coverage.Answered == result.Answer.Coverage.Total:
		r.Whole++
	default:
		r.Partial++
	}
	c := result.Answer.Coverage
	r.covered += float64(c.Answered) / float64(c.Total)
	r.needed += c.Answered
	_ = r.latencies.RecordValue(result.Took.Microseconds())
}
