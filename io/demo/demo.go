package demo

import (
	"context"
	"fmt"
	"io/fs"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"

	"comfreypulley/io/bench"
)

// demoErrors annotates errors.
var demoErrors = errs.Class("demo")

// Demo is one comparison. All fields but VMs, Rate and Plain are set before use.
type Demo struct {
	Examples fs.FS // folders of example settings
	Like     string
	Profile  string
	Period   time.Duration // of each load
	Rate     float64       // requests a second; 0 means that of the profile
	Seed     uint64
	VMs      int // 0 means all of the example
	Shards   int // of the index of quick lookups, two replicas each; 0 means that of the example
	Logger   log.Interface
}

// Result is the outcome of a comparison: the report of the full policy, that
// of the plain one, and the targets beside the figures.
type Result struct {
	Like    string `json:"like"`
	Profile string `json:"profile"`
	Seed    uint64 `json:"seed"`
	VMs     int    `json:"vms"`
	*bench.Report
	Plain   *bench.Report `json:"plain"`
	Targets []Target      `json:"targets"`
}

// Target is a figure beside its bound of section 1.6 of the design page.
type Target struct {
	Name  string  `json:"name"`
	Bound string  `json:"bound"`
	Value float64 `json:"value"`
	Met   bool    `json:"met"`
}

// scenario is what a profile does and what it promises.
type scenario interface {
	// stages returns the loads of one policy; each gets a new world.
	stages(l *like, period time.Duration, seed uint64) []stage
	// judge compares the outcomes, one for each stage.
	judge(l *like, plain, full []outcome) []Target
}

// stage is one load on one world.
type stage struct {
	tune    func(w *world) error // before the load; nil changes nothing
	callers []bench.Caller
	rate    float64
	script  []step
	proxied bool // callers reach the VMs through fault proxies
}

// step is a change of the world during a load.
type step struct {
	at time.Duration // from the begin of the load
	do func(w *world) error
}

// outcome is what came of a stage.
type outcome struct {
	report  *bench.Report
	results []bench.Result
	crashes int // of stand-ins
	period  time.Duration
}

// profile is a scenario and the shortest load that it can be judged by.
type profile struct {
	scenario
	least time.Duration
}

// profiles are the scenarios by name.
var profiles = map[string]profile{
	"confirm":   {confirm{}, 2 * confirmEvery},
	"crash":     {crash{}, 0},
	"flood":     {flood{}, 0},
	"overload":  {overload{}, 0},
	"replica":   {replica{}, 2 * afterFault},
	"steady":    {steady{}, 0},
	"straggler": {straggler{}, 0},
	"versions":  {versions{}, 8 * overlap},
	"zone":      {zone{}, 4 * afterFault},
}

// Profiles lists the names of the profiles.
func Profiles() []string {
	names := make([]string, 0, len(profiles))
	for name := range profiles {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Run runs the plain and then the full policy and returns the comparison.
func (d *Demo) Run(ctx context.Context) (result *Result, err error) {
	defer demoErrors.WrapP(&err)
	s, ok := profiles[d.Profile]
	if !ok {
		return nil, fmt.Errorf("profile %q is not one of %v", d.Profile, Profiles())
	}
	if d.Period < s.least {
		return nil, fmt.Errorf("profile %s needs a load of at least %v, not %v", d.Profile, s.least, d.Period)
	}
	l, err := readLike(d.Examples, d.Like, d.VMs)
	if err != nil {
		return nil, err
	}
	if d.Shards > 0 {
		l.widen(d.Shards)
	}
	plain, err := d.policy(ctx, s, l, true)
	if err != nil {
		return nil, err
	}
	full, err := d.policy(ctx, s, l, false)
	if err != nil {
		return nil, err
	}
	result = &Result{
		Like: d.Like, Profile: d.Profile, Seed: d.Seed, VMs: len(l.settings),
		Report: full[len(full)-1].report, Plain: plain[len(plain)-1].report, Targets: s.judge(l, plain, full),
	}
	return result, nil
}

// policy runs all stages under one policy.
func (d *Demo) policy(ctx context.Context, s scenario, l *like, plain bool) (outcomes []outcome, err error) {
	for _, st := range s.stages(l, d.Period, d.Seed) {
		if d.Rate > 0 {
			st.rate = d.Rate
		}
		w := &world{like: l, plain: plain, seed: d.Seed, proxied: st.proxied, logger: d.Logger}
		o, err := w.run(ctx, st, d.Period)
		if err != nil {
			return nil, err
		}
		outcomes = append(outcomes, o)
	}
	return outcomes, nil
}
