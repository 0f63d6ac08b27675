package bench

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Closed sends queries that follow each other, so it measures throughput only.
// It is the counterpart of Scatter for the tier.
type Closed struct {
	Load    *Load // its targets and its first caller; the rate is not used
	Workers int   // queries at once

	queries atomic.Int64
	failed  atomic.Int64
	shards  atomic.Int64 // of the last answer
}

// Run sends queries for the period of the load.
func (c *Closed) Run(ctx context.Context) (t *Throughput, err error) {
	c.Load.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, MaxIdleConns: idleConns}}
	defer c.Load.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, c.Load.Period)
	defer cancel()
	began := time.Now()
	var wg sync.WaitGroup
	for n := range c.Workers {
		wg.Go((&worker{closed: c, ctx: ctx, n: n}).loop)
	}
	wg.Wait()
	return throughput(c.queries.Load(), c.failed.Load(), time.Since(began), int(c.shards.Load())), nil
}

// worker sends one query after the other until ctx ends.
type worker struct {
	closed *Closed
	ctx    context.Context
	n      int
}

func (w *worker) loop() {
	ctx, l := w.ctx, w.closed.Load
	for ctx.Err() == nil {
		w.n++
		caller := &l.Callers[0]
		body := w.n
		if caller.Bodies > 0 {
			body %= caller.Bodies
		}
		s := &shot{load: l, result: Result{Caller: caller, Query: query(caller, body)}}
		t := s.send(ctx, l.Targets[w.n%len(l.Targets)])
		switch {
		case ctx.Err() != nil:
		case t.Status == http.StatusOK:
			w.closed.queries.Add(1)
			w.closed.shards.Store(int64(t.Answer.Coverage.Answered))
		default:
			w.closed.failed.Add(1)
		}
	}
}
