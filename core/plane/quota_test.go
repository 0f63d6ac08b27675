package plane_test

import (
	"testing"

	"comfreypulley/core/model"
	"comfreypulley/core/plane"
)

// Guards against two teams of one name sharing the limit of the second: requests within the
// larger limit are refused, or the smaller one is exceeded.
func TestTeamsOfOneNameHaveTheirOwnLimits(t *testing.T) {
	d := &model.Document{Teams: []model.Team{
		{Name: "a", Limit: model.RateLimit{Rate: 100}}, {Name: "b"}, {Name: "a", Limit: model.RateLimit{Rate: 10}}, {Name: "a", Limit: model.RateLimit{Rate: 1}},
	}}
	limits := plane.CustomerLimits(&model.Topology{Document: d}, model.QuotaTolerance{})
	names := d.LimitNames()
	for i, team := range d.Teams {
		if got, want := limits[names[i]].Rate, team.Limit.Rate; got != want {
			t.Errorf("team %d: got a limit of %g requests per second, want %g", i, got, want)
		}
	}
	if got, want := len(limits), 3; got != want {
		t.Errorf("got %d limits, want %d", got, want)
	}
}
