package proxy_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/proxy"
)

const oddServices = 30

// drawDocument draws a valid document in which everything repeats that may repeat: names of
// routes, services and teams, hosts in another case, targets of one service.
func drawDocument(t *rapid.T, version uint64) *model.Document {
	d := &model.Document{Version: version, Keyed: rapid.Bool().Draw(t, "keyed")}
	for n := range oddServices {
		for range rapid.IntRange(1, 2).Draw(t, "services of a name") {
			d.Services = append(d.Services, model.Service{Name: oddService(n), MaxConns: 60})
		}
	}
	for range rapid.IntRange(0, 6).Draw(t, "routes") {
		r := model.Route{
			Name:       rapid.SampledFrom([]string{"", "r", "r portions"}).Draw(t, "name"),
			Host:       rapid.SampledFrom([]string{"h", "H", "other"}).Draw(t, "host"),
			PathPrefix: rapid.SampledFrom([]string{"/", "/x/", "/x/y/", "/z/", "/z/x/"}).Draw(t, "prefix"),
			Timeout:    time.Second, MaxAttempts: rapid.IntRange(0, 3).Draw(t, "attempts"), TopK: 4, Public: rapid.Bool().Draw(t, "public"),
		}
		if shards := rapid.IntRange(0, oddServices).Draw(t, "shards"); shards > 0 {
			first := rapid.IntRange(0, oddServices-1).Draw(t, "first")
			for n := range shards {
				r.Shards = append(r.Shards, oddService((first+n)%oddServices))
			}
		} else {
			for range rapid.IntRange(1, 4).Draw(t, "targets") {
				r.Targets = append(r.Targets, model.Target{
					Service: oddService(rapid.IntRange(0, 3).Draw(t, "target")), Weight: rapid.SampledFrom([]float64{0, 1e-9, 1, 1000, 1e300}).Draw(t, "weight"),
				})
			}
			r.AtMostOnce = rapid.Bool().Draw(t, "once")
		}
		d.Routes = append(d.Routes, r)
		if d.Validate() != nil {
			d.Routes = d.Routes[:len(d.Routes)-1]
		}
	}
	for n := range rapid.IntRange(0, 3).Draw(t, "teams") {
		d.Teams = append(d.Teams, model.Team{
			Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Keys: []model.KeyHash{model.HashKey(strconv.Itoa(n))},
			Limit: model.RateLimit{Rate: float64(rapid.IntRange(0, 2).Draw(t, "rate"))},
		})
	}
	return d
}

func oddService(n int) string { return fmt.Sprintf("s%d", n) }

// routeOf returns the route of a request by the words of the users' page.
func routeOf(d *model.Document, host, path string) *model.Route {
	var best *model.Route
	for i := range d.Routes {
		r := &d.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Guards against a valid document that ends the process, or by which a request goes to a
// service of another route, since something in it has a name that repeats.
func TestOddDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		router := &proxy.Router{}
		now := startTime
		router.Start(now, event.Start{VM: model.VM{ID: "vm0", Zone: "a"}, MinShardsToDelegate: 24, RetryBudgetRatio: 0.2, RetryBudgetExtra: 1000, CPUCores: 1}, nil)
		var list []model.Upstream
		for n := range oddServices {
			list = append(list, model.Upstream{
				ID: model.UpstreamID(oddService(n) + "/0"), Index: oddService(n), Slots: 3, Zone: model.Zone(rune('a' + n%2)), Addr: netip.MustParseAddrPort("10.0.0.1:80"),
			})
		}
		router.HandleUpstreamList(now, event.UpstreamList{Upstreams: list, Checksum: 1, ReadAt: now, EntryVMCount: 1}, nil)
		router.HandleEntryVMs(now, event.EntryVMs{VMs: []model.EntryVM{entryVMIn("a", 1), entryVMIn("a", 2), entryVMIn("b", 1)}}, nil)
		var d *model.Document
		routes := make(map[model.RequestID]*model.Route)
		for id := model.RequestID(1); id < 40; id++ {
			if d == nil || rapid.IntRange(0, 4).Draw(t, "change") == 0 {
				d = drawDocument(t, uint64(id))
				router.HandleView(now, event.View{Topology: &model.Topology{Document: d}}, nil)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			e := event.ProxyRequest{
				ID: id, Host: rapid.SampledFrom([]string{"h", "H:80", "other"}).Draw(t, "to"), Wait: 2 * time.Second, Fingerprint: model.Fingerprint(id),
				Path: rapid.SampledFrom([]string{"/x/1", "/x/y/1", "/z/1", "/z/x/1", "/"}).Draw(t, "path"), Key: model.HashKey(fmt.Sprint(id % 4)),
			}
			routes[id] = routeOf(d, strings.TrimSuffix(e.Host, ":80"), e.Path)
			router.HandlePlanRequest(now, event.PlanRequest{Host: e.Host, Path: e.Path}, nil)
			out := router.HandleProxyRequest(now, e, nil)
			for len(out) > 0 {
				now = now.Add(time.Millisecond)
				out = answerOddly(t, router, now, routes, out)
			}
		}
	})
}

// answerOddly checks where attempts go and returns what follows from the answers to them.
func answerOddly(t *rapid.T, router *proxy.Router, now time.Time, routes map[model.RequestID]*model.Route, out []effect.Effect) (next []effect.Effect) {
	for _, e := range out {
		if c, ok := e.(effect.ToControl); ok {
			if token, ok := c.Body.(event.TokenRequest); ok {
				next = router.HandleTokenAnswer(now, event.TokenAnswer{Request: token.Request, Granted: true}, next)
			}
		}
		f, ok := e.(effect.Forward)
		if !ok {
			continue
		}
		route := routes[f.Request]
		if route == nil {
			t.Fatalf("request %d has no route and is sent to %s", f.Request, f.Upstream)
		}
		if f.Portion != nil {
			if last := f.Portion.Shards[len(f.Portion.Shards)-1]; last >= len(route.Shards) {
				t.Fatalf("request %d: got shard %d of %d", f.Request, last, len(route.Shards))
			}
			next = router.HandlePortionResult(now, portionAnswer(f), next)
			continue
		}
		if f.Handover != nil {
			next = router.HandleAttemptFailed(now, event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedUnreachable, Ran: model.RanNo}, next)
			continue
		}
		service, _, _ := strings.Cut(string(f.Upstream), "/")
		if !slices.Contains(route.Shards, service) && !slices.ContainsFunc(route.Targets, func(target model.Target) bool { return target.Service == service && target.Weight > 0 }) {
			t.Fatalf("request %d went to %s, which its route %+v does not name", f.Request, service, route)
		}
		if rapid.IntRange(0, 5).Draw(t, "fails") == 0 {
			next = router.HandleAttemptFailed(now, event.AttemptFailed{Attempt: f.Attempt, Reason: model.FailedRefused, Ran: model.RanNo}, next)
			continue
		}
		next = router.HandleResponseReceived(now, successfulResponse(f, string(f.Upstream)), next)
	}
	return next
}
