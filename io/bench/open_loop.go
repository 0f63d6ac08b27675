package bench

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// maxIdleConns is high enough to reuse connections at any rate that one machine
// can offer.
const maxIdleConns = 4096

// OpenLoop sends requests at planned times, to the targets in turn.
type OpenLoop struct {
	Targets []netip.AddrPort
	Callers []Caller
	Rate    float64 // requests per second on average, at exponentially distributed intervals
	Period  time.Duration
	Seed    uint64

	client    *http.Client
	startedAt time.Time
	mu        sync.Mutex
	results   []Result
	wg        sync.WaitGroup
}

// plannedRequest is one request of a load.
type plannedRequest struct {
	load        *OpenLoop
	firstTarget int // index of the first target, modulo the number of targets
	result      Result
	keyBytes    [10]byte // random bytes of the idempotency key
}

// Run sends the load and waits for the last answer. The results are ordered by
// their planned times.
func (l *OpenLoop) Run(ctx context.Context) (results []Result, err error) {
	if len(l.Targets) == 0 || len(l.Callers) == 0 || l.Rate <= 0 {
		return nil, fmt.Errorf("a load needs targets, callers and a rate above 0, not %d, %d and %v", len(l.Targets), len(l.Callers), l.Rate)
	}
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxIdleConns: maxIdleConns}}
	defer l.client.CloseIdleConnections()
	l.results = nil
	l.startedAt = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, p := range l.plan() {
		timer.Reset(time.Until(l.startedAt.Add(p.result.PlannedAt)))
		select {
		case <-timer.C:
			l.wg.Add(1)
			go p.run(ctx)
			continue
		case <-ctx.Done():
		}
		break
	}
	l.wg.Wait()
	slices.SortFunc(l.results, func(a, b Result) int { return cmp.Compare(a.PlannedAt, b.PlannedAt) })
	return l.results, ctx.Err()
}

// plan draws all requests before the first one is sent, so that they do not depend
// on the answers.
func (l *OpenLoop) plan() []*plannedRequest {
	random := rand.New(rand.NewPCG(l.Seed, 2))
	var requests []*plannedRequest
	totalWeight := 0.0
	for i := range l.Callers {
		c := &l.Callers[i]
		totalWeight += c.weight()
		if c.OnceAt > 0 {
			requests = append(requests, l.newRequest(random, c, c.OnceAt, len(requests)))
		}
	}
	at := time.Duration(0)
	for totalWeight > 0 {
		at += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		if at >= l.Period {
			break
		}
		requests = append(requests, l.newRequest(random, l.pickCaller(random.Float64()*totalWeight), at, len(requests)))
	}
	slices.SortStableFunc(requests, func(a, b *plannedRequest) int { return cmp.Compare(a.result.PlannedAt, b.result.PlannedAt) })
	return requests
}

func (l *OpenLoop) newRequest(random *rand.Rand, c *Caller, at time.Duration, n int) *plannedRequest {
	body := n
	if c.DistinctQueries > 0 {
		body = random.IntN(c.DistinctQueries)
	}
	p := &plannedRequest{load: l, firstTarget: n, result: Result{Caller: c, Query: queryBody(c, body), PlannedAt: at}}
	for i := range p.keyBytes {
		p.keyBytes[i] = byte(random.Uint32())
	}
	return p
}

// pickCaller returns the caller at a point between 0 and the sum of the weights.
func (l *OpenLoop) pickCaller(point float64) *Caller {
	for i := range l.Callers {
		point -= l.Callers[i].weight()
		if point < 0 {
			return &l.Callers[i]
		}
	}
	return &l.Callers[len(l.Callers)-1]
}

// queryBody returns the nth query of a caller.
func queryBody(c *Caller, n int) []byte {
	if c.CrashesUpstream {
		return fmt.Appendf(nil, `{"caller":%q,"n":%d,"crash":true}`, c.Name, n)
	}
	return fmt.Appendf(nil, `{"caller":%q,"n":%d}`, c.Name, n)
}
