package dialer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// probe requests an upstream's state.
type probe struct {
	dialer *Dialer
	pool   *pool
	probe  effect.Probe
}

// reportBody is the JSON body of the response to a probe.
type reportBody struct {
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	Conns    int    `json:"conns"`
	InFlight int    `json:"inflight"`
	Queued   int    `json:"queued"`
	Versions []struct {
		Index   string `json:"index"`
		Version uint64 `json:"version"`
		Shards  int    `json:"shards"`
		Holds   []int  `json:"holds"`
	} `json:"versions"`
}

func (p *probe) run() {
	defer p.dialer.wg.Done()
	defer p.pool.closeIfReplaced()
	result := event.ProbeResult{Upstream: p.probe.Upstream}
	if body, err := p.fetch(); err == nil {
		result = body.event(p.probe.Upstream)
	}
	p.dialer.Post(result)
}

func (p *probe) fetch() (body reportBody, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("probe of upstream %s: %w", p.probe.Upstream, err)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), p.probe.Timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/report", p.probe.Addr)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return body, err
	}
	number := p.dialer.nextProbeNumber()
	request.Header.Set(attemptHeader, number)
	response, err := p.pool.transport.RoundTrip(request)
	if err != nil {
		return body, err
	}
	defer response.Body.Close()
	if !answersAttempt(response, number) {
		// The connection is closed with the body, which was not read.
		return body, fmt.Errorf("the response has status %q and is to attempt %q", response.Status, response.Header.Get(attemptHeader))
	}
	if response.StatusCode != http.StatusOK {
		return body, fmt.Errorf("status %d", response.StatusCode)
	}
	raw, err := p.dialer.bodies.ReadAll(response.Body, response.ContentLength)
	if err != nil {
		return body, err
	}
	return body, json.Unmarshal(raw, &body)
}

func (b *reportBody) event(id model.UpstreamID) event.ProbeResult {
	result := event.ProbeResult{
		Upstream:  id,
		Reachable: true,
		Draining:  b.State == "drained",
		Cold:      b.State == "cold",
		Load:      model.Load{InFlight: b.InFlight, Queued: b.Queued, Slots: b.Slots},
		Conns:     b.Conns,
	}
	for _, v := range b.Versions {
		result.Snapshots = append(result.Snapshots, model.HeldSnapshot{
			Index: v.Index, Version: model.SnapshotVersion(v.Version), ShardCount: v.Shards, HeldShards: v.Holds,
		})
	}
	return result
}
