package soak

import (
	"fmt"
	"slices"
	"time"

	"comfreypulley/core/model"
)

// Team is whose request a caller sends. Its text is the team's name.
type Team string

// Teams. Requests of the class Move need no key.
const (
	NoTeam      Team = ""
	OpenTeam    Team = "open"    // without a limit
	LimitedTeam Team = "limited" // its callers send more than its limit
	AddedTeam   Team = "added"   // has a key only for some changes, like the routes of Added requests
)

// Limit of LimitedTeam, and what may be admitted beyond it.
const (
	limitedRate  = 5 // requests per second
	limitedBurst = 5
	limitWindow  = 2 * time.Second        // in which requests are counted
	limitAccrual = 250 * time.Millisecond // for which tokens are kept that are on their way
	limitParts   = 3                      // into which the fleet is cut at most; each may admit one more
)

// key returns the key of a team; change matters for AddedTeam only.
func (t Team) key(change int) string {
	if t == AddedTeam {
		return fmt.Sprintf("key-of-change-%d", change)
	}
	return "key-of-" + string(t)
}

// Key returns the key with which a request authenticates, "" for none.
func (r *Request) Key() string {
	if r.Team == NoTeam {
		return ""
	}
	return r.Team.key(r.Change)
}

// addTeams adds the teams of a change to a document. It returns their keys by hash.
func addTeams(d *model.Document, change int) map[model.KeyHash]string {
	keys := make(map[model.KeyHash]string)
	add := func(t Team, limit model.RateLimit, changes ...int) {
		team := model.Team{Name: string(t), Limit: limit}
		for _, n := range changes {
			hash := model.HashKey(t.key(n))
			keys[hash] = t.key(n)
			team.Keys = append(team.Keys, hash)
		}
		d.Teams = append(d.Teams, team)
	}
	d.Keyed = true
	add(OpenTeam, model.RateLimit{}, 0)
	add(LimitedTeam, model.RateLimit{Rate: limitedRate, Burst: limitedBurst}, 0)
	var changes []int
	for n := max(0, change-addedRoutes+1); n <= change; n++ {
		changes = append(changes, n)
	}
	add(AddedTeam, model.RateLimit{}, changes...)
	return keys
}

// judgeTeam checks that an upstream got the team of a request and not its key.
func (s *State) judgeTeam(req *request, r *Run) {
	if r.Team != req.Team || r.KeyPassed {
		s.addFinding("UNASKED", "upstream %d got request %s of team %q as of %q, with the key: %v", r.Upstream, req.ID, req.Team, r.Team, r.KeyPassed)
	}
}

// judgeLimit compares the requests of LimitedTeam that ran with its limit in every window.
// They may arrive up to a route's timeout after they were admitted.
func (s *State) judgeLimit() {
	var arrivals []time.Time
	for _, req := range s.requests {
		if req.Team != LimitedTeam {
			continue
		}
		if i := slices.IndexFunc(req.runs, func(r *run) bool { return r.Accepted }); i >= 0 {
			arrivals = append(arrivals, req.runs[i].startedAt)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	s.report.Judged["QUOTA"] = len(arrivals)
	bound := limitedRate*(limitWindow+routeTimeout+limitAccrual).Seconds() + limitedBurst + limitParts
	for i, from := range arrivals {
		n, _ := slices.BinarySearchFunc(arrivals[i:], from.Add(limitWindow), time.Time.Compare)
		if float64(n) > bound {
			s.addFinding("QUOTA", "%d requests of team %s ran in %v, more than %.1f", n, LimitedTeam, limitWindow, bound)
			return
		}
	}
}
