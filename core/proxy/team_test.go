package proxy_test

import (
	"net/netip"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

const (
	teamKey  = "key of the team"
	otherKey = "key of another team"
)

// newTeamRouter returns a router with two teams, of which one has a limit, a route that
// needs a key and a public one. It knows another VM.
func newTeamRouter() *testRouter {
	tr := newTestRouter(unshardedRoute(false), "s")
	tr.router.HandleEntryVMs(tr.now, event.EntryVMs{VMs: []model.EntryVM{{ID: "b", Zone: "a", PortionAddr: netip.MustParseAddrPort("10.0.0.2:1")}}}, nil)
	tr.setTeams(2, []model.Team{
		{Name: "limited", Keys: []model.KeyHash{model.HashKey(teamKey)}, Limit: model.RateLimit{Rate: 1, Burst: 1}},
		{Name: "other", Keys: []model.KeyHash{model.HashKey(otherKey)}},
	})
	return tr
}

func (tr *testRouter) setTeams(version uint64, teams []model.Team) {
	public := unshardedRoute(false)
	public.Name, public.PathPrefix, public.Public = "public", "/public/", true
	tr.router.HandleView(tr.now, event.View{Topology: &model.Topology{Document: &model.Document{
		Version: version, Keyed: true, Teams: teams, Routes: []model.Route{unshardedRoute(false), public}, Services: []model.Service{{Name: "s", MaxConns: 60}},
	}}}, nil)
}

// requestWith sends a request with a key, none if it is empty.
func (tr *testRouter) requestWith(key, path string) []effect.Effect {
	tr.lastID++
	e := event.ProxyRequest{ID: tr.lastID, Host: "h", Path: path, Fingerprint: model.Fingerprint(tr.lastID)}
	if key != "" {
		e.Key = model.HashKey(key)
	}
	return tr.router.HandleProxyRequest(tr.now, e, nil)
}

func tokenRequests(out []effect.Effect) (list []event.TokenRequest) {
	for _, e := range out {
		if c, ok := e.(effect.ToControl); ok {
			if r, ok := c.Body.(event.TokenRequest); ok {
				list = append(list, r)
			}
		}
	}
	return list
}

func refusals(out []effect.Effect) (list []model.Refusal) {
	for _, e := range out {
		if r, ok := e.(effect.Refuse); ok {
			list = append(list, r.Refusal)
		}
	}
	return list
}

func checkRefused(t *testing.T, out []effect.Effect, want model.RefusalReason) {
	t.Helper()
	got := refusals(out)
	if len(got) != 1 || got[0].Reason != want || got[0].Ran != model.RanNo || len(forwardsOf(out)) > 0 {
		t.Errorf("got %+v, want a refusal as %s and not run", out, want)
	}
}

// Guards against requests that run with an unknown key or without one, and against keys
// that are passed on, or teams that are not named, to upstreams.
func TestKeysOfTeams(t *testing.T) {
	tr := newTeamRouter()
	checkRefused(t, tr.requestWith("", "/x"), model.RefusedCredential)
	checkRefused(t, tr.requestWith("unknown", "/x"), model.RefusedCredential)
	for _, c := range []struct{ key, path, team string }{{otherKey, "/x", "other"}, {"", "/public/x", ""}, {"unknown", "/public/x", ""}, {otherKey, "/public/x", "other"}} {
		out := tr.requestWith(c.key, c.path)
		got := forwardsOf(out)
		if len(got) != 1 || !got[0].HideKey || got[0].Team != c.team || len(tokenRequests(out)) > 0 {
			t.Errorf("%+v: got %+v, want one attempt for team %q without a key", c, out, c.team)
		}
	}
}

// Guards against retries and hedges that forget the team.
func TestRetriesNameTheTeam(t *testing.T) {
	tr := newTeamRouter()
	first := forwardsOf(tr.requestWith(otherKey, "/x"))[0]
	again := forwardsOf(tr.router.HandleAttemptFailed(tr.now, event.AttemptFailed{Attempt: first.Attempt, Reason: model.FailedReset, Ran: model.RanUnknown}, nil))
	if len(again) != 1 || !again[0].HideKey || again[0].Team != "other" {
		t.Errorf("got %+v, want a retry for the team", again)
	}
}

// Guards against requests that are sent before they have a token, or wait when they have
// got none.
func TestLimitedTeamWaitsForToken(t *testing.T) {
	tr := newTeamRouter()
	for _, c := range []struct {
		answer event.TokenAnswer
		want   model.RefusalReason
	}{
		{answer: event.TokenAnswer{Granted: true}},
		{answer: event.TokenAnswer{Wait: 70 * time.Millisecond}, want: model.RefusedQuota},
	} {
		out := tr.requestWith(teamKey, "/x")
		asked := tokenRequests(out)
		if len(asked) != 1 || asked[0].Customer != "limited" || len(forwardsOf(out)) > 0 {
			t.Fatalf("got %+v, want a request for a token alone", out)
		}
		c.answer.Request = asked[0].Request
		out = tr.router.HandleTokenAnswer(tr.now, c.answer, nil)
		if c.want == "" {
			if got := forwardsOf(out); len(got) != 1 || got[0].Team != "limited" {
				t.Errorf("got %+v with a token, want an attempt", out)
			}
			continue
		}
		checkRefused(t, out, c.want)
		if got := refusals(out); len(got) == 1 && got[0].RetryAfter != c.answer.Wait {
			t.Errorf("got Retry-After %v, want %v", got[0].RetryAfter, c.answer.Wait)
		}
	}
}

// Guards against a key that is withdrawn while its request waits for a token and serves it
// all the same, and against one that is in force again with an older document.
func TestKeyIsWithdrawnWhileRequestWaits(t *testing.T) {
	tr := newTeamRouter()
	asked := tokenRequests(tr.requestWith(teamKey, "/x"))
	tr.setTeams(3, []model.Team{{Name: "limited", Limit: model.RateLimit{Rate: 1}}})
	checkRefused(t, tr.router.HandleTokenAnswer(tr.now, event.TokenAnswer{Request: asked[0].Request, Granted: true}, nil), model.RefusedCredential)
	tr.setTeams(2, []model.Team{{Name: "limited", Keys: []model.KeyHash{model.HashKey(teamKey)}}})
	checkRefused(t, tr.requestWith(teamKey, "/x"), model.RefusedCredential)
	tr.setTeams(4, []model.Team{{Name: "renamed", Keys: []model.KeyHash{model.HashKey(teamKey)}}})
	if got := forwardsOf(tr.requestWith(teamKey, "/x")); len(got) != 1 || got[0].Team != "renamed" {
		t.Errorf("got %+v, want an attempt for the team that has the key now", got)
	}
	tr.router.HandleConfigOverdue(event.ConfigOverdue{Overdue: true}, nil)
	checkRefused(t, tr.requestWith("new key", "/x"), model.RefusedStale)
}

// Guards against requests that are refused though another VM can get a token, that go
// from VM to VM, or that take a second token.
func TestRequestWithoutIssuersIsHandedOver(t *testing.T) {
	tr := newTeamRouter()
	asked := tokenRequests(tr.requestWith(teamKey, "/x"))
	out := tr.router.HandleTokenAnswer(tr.now, event.TokenAnswer{Request: asked[0].Request, Unmetered: true}, nil)
	offered := forwardsOf(out)
	if len(offered) != 1 || offered[0].Handover == nil || offered[0].Handover.Metered || offered[0].HideKey {
		t.Fatalf("got %+v, want the request handed over with its key", out)
	}
	out = tr.router.HandleHandoverResult(tr.now, event.HandoverResult{
		Attempt: offered[0].Attempt, Refusal: &model.Refusal{Reason: model.RefusedUnmetered, Ran: model.RanNo},
	}, nil)
	asked = tokenRequests(out)
	if len(asked) != 1 || len(forwardsOf(out)) > 0 {
		t.Fatalf("got %+v when no VM has a token, want a second request for one", out)
	}
	// No tolerance is set, so that the draw admits nothing.
	checkRefused(t, tr.router.HandleTokenAnswer(tr.now, event.TokenAnswer{Request: asked[0].Request, Unmetered: true}, nil), model.RefusedUnmetered)

	handed := event.ProxyRequest{Host: "h", Path: "/x", Key: model.HashKey(teamKey)}
	for _, metered := range []bool{true, false} {
		tr.lastID++
		handed.ID, handed.Handover = tr.lastID, &model.Handover{DocumentVersion: 2, MaxAttempts: 1, Metered: metered}
		out = tr.router.HandleProxyRequest(tr.now, handed, nil)
		if got := len(tokenRequests(out)); (got == 0) != metered || (len(forwardsOf(out)) == 1) != metered {
			t.Errorf("metered %v: got %+v, want a request for a token only without one", metered, out)
		}
	}
	checkRefused(t, tr.router.HandleTokenAnswer(tr.now, event.TokenAnswer{Request: handed.ID, Unmetered: true}, nil), model.RefusedUnmetered)
}

// Guards against portions that another VM sends without the name of the team, or with the
// caller's key.
func TestPortionsNameTheTeam(t *testing.T) {
	route := unshardedRoute(false)
	route.Targets, route.Shards, route.TopK = nil, []string{"s", "t"}, 1
	tr := startTestRouter(event.Start{VM: model.VM{ID: "a", Zone: "a"}, CPUCores: 1, MinShardsToDelegate: 2}, route, "s", "t")
	tr.router.HandleEntryVMs(tr.now, event.EntryVMs{VMs: []model.EntryVM{{ID: "b", Zone: "a", PortionAddr: netip.MustParseAddrPort("10.0.0.2:1")}}}, nil)
	tr.router.HandleView(tr.now, event.View{Topology: &model.Topology{Document: &model.Document{
		Version: 2, Keyed: true, Teams: []model.Team{{Name: "other", Keys: []model.KeyHash{model.HashKey(otherKey)}}},
		Routes: []model.Route{route}, Services: []model.Service{{Name: "s", MaxConns: 60}, {Name: "t", MaxConns: 60}},
	}}}, nil)
	for _, f := range forwardsOf(tr.requestWith(otherKey, "/x")) {
		if !f.HideKey || f.Team != "other" {
			t.Errorf("got %+v, want the team and no key", f)
		}
	}
	tr.lastID++
	out := tr.router.HandleProxyRequest(tr.now, event.ProxyRequest{
		ID: tr.lastID, Host: "h", Path: "/x", Portion: &model.Portion{DocumentVersion: 2, Shards: []int{0, 1}, Team: "other"},
	}, nil)
	got := forwardsOf(out)
	if len(got) != 2 || got[0].Team != "other" || got[1].Team != "other" || !got[0].HideKey {
		t.Errorf("got %+v, want an attempt for each shard that names the team", out)
	}
}

// Guards against a shutdown that forgets the requests which wait for a token, and against
// one that waits for a caller who has left.
func TestShutdownWhileRequestWaitsForToken(t *testing.T) {
	drained := func(out []effect.Effect) bool {
		for _, e := range out {
			if _, ok := e.(effect.Drained); ok {
				return true
			}
		}
		return false
	}
	tr := newTeamRouter()
	tr.requestWith(teamKey, "/x")
	tr.requestWith(teamKey, "/x")
	if drained(tr.router.Drain(tr.now, nil)) {
		t.Error("drained with two requests that wait")
	}
	if drained(tr.router.HandleCallerDisconnected(tr.now, event.CallerDisconnected{Request: 1}, nil)) {
		t.Error("drained with a request that waits")
	}
	out := tr.router.CutOff(tr.now, nil)
	checkRefused(t, out, model.RefusedDraining)
	if !drained(out) {
		t.Error("not drained after the last request was refused")
	}
}

// Guards against two teams of one name sharing the tokens of one of them: only keys tell
// teams apart.
func TestTeamsOfOneNameHaveTheirOwnLimits(t *testing.T) {
	tr := newTeamRouter()
	teams := []model.Team{
		{Name: "limited", Keys: []model.KeyHash{model.HashKey(teamKey)}, Limit: model.RateLimit{Rate: 1, Burst: 1}},
		{Name: "limited", Keys: []model.KeyHash{model.HashKey(otherKey)}, Limit: model.RateLimit{Rate: 100, Burst: 100}},
	}
	tr.setTeams(3, teams)
	names := (&model.Document{Teams: teams}).LimitNames()
	for i, key := range []string{teamKey, otherKey} {
		out := tr.requestWith(key, "/x")
		requests := tokenRequests(out)
		if len(requests) != 1 || requests[0].Customer != names[i] {
			t.Fatalf("got token requests %+v of team %d, want one under %q", requests, i, names[i])
		}
		out = tr.router.HandleTokenAnswer(tr.now, event.TokenAnswer{Request: tr.lastID, Granted: true}, nil)
		forwards := forwardsOf(out)
		if len(forwards) != 1 || forwards[0].Team != "limited" {
			t.Errorf("got attempts %+v, want one that bears the team's name", forwards)
		}
	}
	if names[0] != "limited" {
		t.Errorf("got the limit of the first team under %q, want its name, which earlier builds use", names[0])
	}
	if names[0] == names[1] {
		t.Errorf("got one name %q for the limits of two teams", names[0])
	}
}
