package proxy_test

import (
	"reflect"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// plan asks a router where a request of a team would go.
func (tr *testRouter) plan(t *testing.T, team string) *model.Plan {
	t.Helper()
	return planOf(t, tr.router.HandlePlanRequest(tr.now, event.PlanRequest{Seq: 7, Customer: team, Host: "h", Path: "/x"}, nil))
}

// planOf returns the plan that is the only effect.
func planOf(t *testing.T, out []effect.Effect) *model.Plan {
	t.Helper()
	if len(out) != 1 {
		t.Fatalf("got effects %+v, want only an answer", out)
	}
	answer, ok := out[0].(effect.AnswerOperator)
	if !ok || answer.Seq != 7 || answer.Plan == nil {
		t.Fatalf("got %+v, want an answer with a plan", out[0])
	}
	return answer.Plan
}

// Guards against a plan that names another upstream than the one that the next request is
// sent to, or the wrong reason why one is not used.
func TestPlanNamesTheUpstreamOfTheNextRequest(t *testing.T) {
	tr := newTestRouter(unshardedRoute(false), "s")
	for _, pausedOrOut := range []func(){
		func() {},
		func() {
			tr.router.HandleUpstreamStatement(tr.now, event.UpstreamStatement{Upstream: "s/a", Pause: time.Second}, nil)
		},
		func() {
			tr.router.HandleView(tr.now, event.View{Topology: &model.Topology{ZonesOut: []model.Zone{"b"}}}, nil)
		},
	} {
		pausedOrOut()
		candidates := tr.plan(t, "").Services[0].Candidates
		f := tr.request()[0]
		if got, want := candidates[0].Upstream, f.Upstream; got != want {
			t.Errorf("the plan prefers %s, but the request went to %s", got, want)
		}
		tr.respond(f, 10*time.Millisecond)
	}
	got := make(map[model.UpstreamID]model.Obstacle)
	for _, c := range tr.plan(t, "").Services[0].Candidates {
		got[c.Upstream] = c.Obstacle
	}
	if want := map[model.UpstreamID]model.Obstacle{"s/a": model.ObstaclePause, "s/b": model.ObstacleZone, "s/c": ""}; !reflect.DeepEqual(got, want) {
		t.Errorf("got obstacles %v, want %v", got, want)
	}
}

// Guards against a plan that changes what the next requests get.
func TestPlanChangesNothing(t *testing.T) {
	asked, other := newTeamRouter(), newTeamRouter()
	for range 20 {
		asked.plan(t, "limited")
		asked.plan(t, "")
		if got, want := asked.requestWith(otherKey, "/x"), other.requestWith(otherKey, "/x"); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v after plans, want %+v as without", got, want)
		}
		asked.now, other.now = asked.now.Add(3*time.Millisecond), other.now.Add(3*time.Millisecond)
	}
}

// Guards against a plan that does not say that a request is refused, or waits for a token.
func TestPlanOfTeams(t *testing.T) {
	tr := newTeamRouter()
	if got, want := tr.plan(t, "").Refused, model.RefusedCredential; got != want {
		t.Errorf("without a team: got refused as %q, want %q", got, want)
	}
	for team, metered := range map[string]bool{"limited": true, "other": false} {
		if p := tr.plan(t, team); p.Refused != "" || p.Customer != team || p.Metered != metered || len(p.Services) != 1 {
			t.Errorf("team %s: got %+v, want metered %v and one service", team, p, metered)
		}
	}
}
