package dialer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// report is one probe in flight.
type report struct {
	dialer *Dialer
	client *client
	probe  effect.Probe
}

// reportBody is the body of an upstream's report.
type reportBody struct {
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	Conns    int    `json:"conns"`
	Inflight int    `json:"inflight"`
	Queued   int    `json:"queued"`
	Versions []struct {
		Index   string `json:"index"`
		Version uint64 `json:"version"`
		Shards  int    `json:"shards"`
		Holds   []int  `json:"holds"`
	} `json:"versions"`
}

func (r *report) run() {
	defer r.dialer.wg.Done()
	defer r.client.release()
	reported := event.ProbeResult{Upstream: r.probe.Upstream}
	if body, err := r.fetch(); err == nil {
		reported = body.event(r.probe.Upstream)
	}
	r.dialer.Post(reported)
}

func (r *report) fetch() (body reportBody, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("report of upstream %s: %w", r.probe.Upstream, err)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), r.probe.Timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/report", r.probe.Addr)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return body, err
	}
	response, err := r.client.transport.RoundTrip(request)
	if err != nil {
		return body, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return body, fmt.Errorf("status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&body)
	return body, err
}

func (b *reportBody) event(id model.UpstreamID) event.ProbeResult {
	reported := event.ProbeResult{
		Upstream:  id,
		Reachable: true,
		Draining:  b.State == "drained",
		Cold:      b.State == "cold",
		Load:      model.Load{Inflight: b.Inflight, Queued: b.Queued, Slots: b.Slots},
		Conns:     b.Conns,
	}
	for _, v := range b.Versions {
		reported.Snapshots = append(reported.Snapshots, model.HeldSnapshot{
			Index: v.Index, Version: model.SnapshotVersion(v.Version), ShardCount: v.Shards, HeldShards: v.Holds,
		})
	}
	return reported
}
