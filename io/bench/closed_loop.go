package bench

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ClosedLoop sends queries to entry VMs. Each worker sends a query when its
// previous one has ended, so that only the throughput is meaningful. DirectLoop
// measures the same without entry VMs.
type ClosedLoop struct {
	OpenLoop *OpenLoop // gives targets, period and, as its first caller, the queries; the rate is not used
	Workers  int       // queries in flight

	queries        atomic.Int64
	failed         atomic.Int64
	shardsPerQuery atomic.Int64 // number of shards in the last answer
}

// Run sends queries for the period of the load and measures the throughput.
func (c *ClosedLoop) Run(ctx context.Context) (t *Throughput, err error) {
	c.OpenLoop.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxIdleConns: maxIdleConns}}
	defer c.OpenLoop.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, c.OpenLoop.Period)
	defer cancel()
	began := time.Now()
	var wg sync.WaitGroup
	for n := range c.Workers {
		wg.Go((&worker{loop: c, ctx: ctx, sent: n}).run) // workers begin with different targets
	}
	wg.Wait()
	return throughput(c.queries.Load(), c.failed.Load(), time.Since(began), int(c.shardsPerQuery.Load())), nil
}

// worker sends queries one after the other until ctx ends.
type worker struct {
	loop *ClosedLoop
	ctx  context.Context
	sent int
}

func (w *worker) run() {
	ctx, l := w.ctx, w.loop.OpenLoop
	for ctx.Err() == nil {
		w.sent++
		caller := &l.Callers[0]
		body := w.sent
		if caller.DistinctQueries > 0 {
			body %= caller.DistinctQueries
		}
		p := &plannedRequest{load: l, result: Result{Caller: caller, Query: queryBody(caller, body)}}
		t := p.send(ctx, l.Targets[w.sent%len(l.Targets)])
		switch {
		case ctx.Err() != nil:
		case t.Status == http.StatusOK:
			w.loop.queries.Add(1)
			w.loop.shardsPerQuery.Store(int64(t.Answer.Coverage.Answered))
		default:
			w.loop.failed.Add(1)
		}
	}
}
