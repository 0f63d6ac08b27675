package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// DirectLoop is the baseline for the throughput of entry VMs: a closed loop that
// bypasses them. It sends each query with net/http to one upstream of every shard
// and decodes the answers.
type DirectLoop struct {
	Upstreams []netip.AddrPort // one for each shard, in order
	Index     string
	Version   uint64
	Workers   int // queries in flight
	Period    time.Duration

	client  *http.Client
	queries atomic.Int64
	failed  atomic.Int64
}

// Throughput is the result of a closed loop.
type Throughput struct {
	Queries                int     `json:"queries"`
	Failed                 int     `json:"failed"`      // shard requests of a DirectLoop, queries of a ClosedLoop
	QueriesPerSecond       float64 `json:"persecond"`   // queries per second
	ShardRequestsPerSecond float64 `json:"subrequests"` // shard requests per second
}

const shardTimeout = 10 * time.Second

// Run sends queries for the period and measures the throughput.
func (d *DirectLoop) Run(ctx context.Context) (t *Throughput, err error) {
	if len(d.Upstreams) == 0 || d.Workers < 1 {
		return nil, fmt.Errorf("direct queries need upstreams and workers, not %d and %d", len(d.Upstreams), d.Workers)
	}
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxIdleConns: maxIdleConns}}
	defer d.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, d.Period)
	defer cancel()
	began := time.Now()
	var wg sync.WaitGroup
	for range d.Workers {
		wg.Go((&directWorker{direct: d, ctx: ctx}).loop)
	}
	wg.Wait()
	return throughput(d.queries.Load(), d.failed.Load(), time.Since(began), len(d.Upstreams)), nil
}

func throughput(queries, failed int64, took time.Duration, shards int) *Throughput {
	rate := float64(queries) / took.Seconds()
	return &Throughput{Queries: int(queries), Failed: int(failed), QueriesPerSecond: rate, ShardRequestsPerSecond: rate * float64(shards)}
}

// directWorker sends queries one after the other until ctx ends.
type directWorker struct {
	direct *DirectLoop
	ctx    context.Context
	sent   int
}

func (w *directWorker) loop() {
	d := w.direct
	for w.ctx.Err() == nil {
		w.sent++
		var wg sync.WaitGroup
		for shard := range d.Upstreams {
			wg.Go((&shardQuery{directWorker: *w, shard: shard}).run)
		}
		wg.Wait()
		if w.ctx.Err() == nil {
			d.queries.Add(1)
		}
	}
}

// shardQuery is one shard request of a query.
type shardQuery struct {
	directWorker
	shard int
}

// run sends the shard request and decodes its answer.
func (q *shardQuery) run() {
	d, ctx, shard, n := q.direct, q.ctx, q.shard, q.sent
	url := fmt.Sprintf("http://%s/v1/shard/%s/%d/%d", d.Upstreams[shard], d.Index, d.Version, shard)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(fmt.Appendf(nil, `{"n":%d}`, n)))
	if err != nil {
		d.failed.Add(1)
		return
	}
	r.Header.Set("Request", "scatter-"+strconv.Itoa(n))
	r.Header.Set("Attempt", strconv.Itoa(shard))
	r.Header.Set("Timeout", strconv.FormatInt(shardTimeout.Milliseconds(), 10))
	response, err := d.client.Do(r)
	if err == nil {
		err = decode(response)
	}
	if err != nil && ctx.Err() == nil {
		d.failed.Add(1)
	}
}

func decode(response *http.Response) (err error) {
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("upstream answered with status %d", response.StatusCode)
	}
	var body struct {
		Items []Item `json:"items"`
	}
	return json.Unmarshal(raw, &body)
}
