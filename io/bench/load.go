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

// idleConns is high enough that a load reuses its connections at any rate that
// one machine can offer.
const idleConns = 4096

// Load sends requests at a planned rate, spread over the targets in turn.
type Load struct {
	Targets []netip.AddrPort
	Callers []Caller
	Rate    float64 // requests a second, at random intervals
	Period  time.Duration
	Seed    uint64

	client  *http.Client
	began   time.Time
	mu      sync.Mutex
	results []Result
	wg      sync.WaitGroup
}

// shot is one planned request.
type shot struct {
	load   *Load
	first  int // target of the first send, modulo their number
	result Result
	random [10]byte // of the key
}

// Run sends the load and waits for the last answer. Results are in the order of
// their planned times.
func (l *Load) Run(ctx context.Context) (results []Result, err error) {
	if len(l.Targets) == 0 || len(l.Callers) == 0 || l.Rate <= 0 {
		return nil, fmt.Errorf("load: needs targets, callers and a rate above 0, not %d, %d and %v", len(l.Targets), len(l.Callers), l.Rate)
	}
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, MaxIdleConns: idleConns}}
	defer l.client.CloseIdleConnections()
	l.results = nil
	l.began = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, s := range l.plan() {
		timer.Reset(time.Until(l.began.Add(s.result.Planned)))
		select {
		case <-timer.C:
			l.wg.Add(1)
			go s.run(ctx)
			continue
		case <-ctx.Done():
		}
		break
	}
	l.wg.Wait()
	slices.SortFunc(l.results, func(a, b Result) int { return cmp.Compare(a.Planned, b.Planned) })
	return l.results, ctx.Err()
}

// plan draws all requests before the first one is sent, so that the load is the
// same whatever the answers.
func (l *Load) plan() []*shot {
	random := rand.New(rand.NewPCG(l.Seed, 2))
	var shots []*shot
	total := 0.0
	for i := range l.Callers {
		c := &l.Callers[i]
		total += c.share()
		if c.Once > 0 {
			shots = append(shots, l.shot(random, c, c.Once, len(shots)))
		}
	}
	at := time.Duration(0)
	for total > 0 {
		at += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		if at >= l.Period {
			break
		}
		shots = append(shots, l.shot(random, l.pick(random.Float64()*total), at, len(shots)))
	}
	slices.SortStableFunc(shots, func(a, b *shot) int { return cmp.Compare(a.result.Planned, b.result.Planned) })
	return shots
}

func (l *Load) shot(random *rand.Rand, c *Caller, at time.Duration, n int) *shot {
	body := n
	if c.Bodies > 0 {
		body = random.IntN(c.Bodies)
	}
	s := &shot{load: l, first: n, result: Result{Caller: c, Query: query(c, body), Planned: at}}
	for i := range s.random {
		s.random[i] = byte(random.Uint32())
	}
	return s
}

func (l *Load) pick(at float64) *Caller {
	for i := range l.Callers {
		at -= l.Callers[i].share()
		if at < 0 {
			return &l.Callers[i]
		}
	}
	return &l.Callers[len(l.Callers)-1]
}

// query makes the query of a caller. The same number gives the same query.
func query(c *Caller, n int) []byte {
	if c.Crash {
		return fmt.Appendf(nil, `{"caller":%q,"n":%d,"crash":true}`, c.Name, n)
	}
	return fmt.Appendf(nil, `{"caller":%q,"n":%d}`, c.Name, n)
}
