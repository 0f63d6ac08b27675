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

// demoErrors marks the errors of a Demo.
var demoErrors = errs.Class("demo")

// Demo compares the full policy with the baseline policy under one profile. VMs,
// Rate and Shards are optional.
type Demo struct {
	Examples fs.FS         // has a folder of settings for each example
	Example  string        // name of the example
	Profile  string        // one of Profiles
	Period   time.Duration // of each load
	Rate     float64       // requests per second; 0 means that of the profile
	Seed     uint64
	VMs      int // number of VMs; 0 means all of the example
	Shards   int // number of shards of the queried index, with two replicas each; 0 means that of the example
	Logger   log.Interface
}

// Result is the result of a comparison: the report of the full policy, that of the
// baseline policy, and the targets.
type Result struct {
	Example string `json:"like"`
	Profile string `json:"profile"`
	Seed    uint64 `json:"seed"`
	VMs     int    `json:"vms"`
	*bench.Report
	Baseline *bench.Report `json:"plain"`
	Targets  []Target      `json:"targets"`
}

// Target is a measured value and the bound that section 1.6 of the design page
// sets for it.
type Target struct {
	Name  string  `json:"name"`
	Bound string  `json:"bound"`
	Value float64 `json:"value"`
	Met   bool    `json:"met"`
}

// scenario defines the loads and faults of a profile and its targets.
type scenario interface {
	// stages returns the loads of one policy. Each one runs on a new system.
	stages(e *example, period time.Duration, seed uint64) []stage
	// targets compares the outcomes with the bounds. There is one outcome for each
	// stage.
	targets(e *example, baseline, full []outcome) []Target
}

// stage is one load on a new system.
type stage struct {
	setUp           func(sys *system) error // called before the load; may be nil
	callers         []bench.Caller
	rate            float64 // requests per second
	script          []scriptStep
	useFaultProxies bool // callers reach the VMs through fault proxies
}

// scriptStep is a change of the system during a load.
type scriptStep struct {
	at    time.Duration // from the start of the load
	apply func(sys *system) error
}

// outcome is the result of a stage.
type outcome struct {
	report  *bench.Report
	results []bench.Result
	crashes int // of the stubs
	period  time.Duration
}

// profile is a scenario and the shortest load that gives each of its targets some
// queries.
type profile struct {
	scenario
	minPeriod time.Duration
}

// profiles holds the profiles by name.
var profiles = map[string]profile{
	"confirm":   {confirm{}, 2 * faultInterval},
	"crash":     {crash{}, 0},
	"flood":     {flood{}, 0},
	"overload":  {overload{}, 0},
	"replica":   {replicaLoss{}, 2 * adaptationTime},
	"steady":    {steady{}, 0},
	"straggler": {straggler{}, 0},
	"versions":  {versions{}, 8 * versionOverlap},
	"zone":      {zoneLoss{}, 4 * adaptationTime},
}

// Profiles returns the names of the profiles in alphabetical order.
func Profiles() []string {
	names := make([]string, 0, len(profiles))
	for name := range profiles {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Run runs the profile with the baseline policy, then with the full policy, and
// compares the results.
func (d *Demo) Run(ctx context.Context) (result *Result, err error) {
	defer demoErrors.WrapP(&err)
	s, ok := profiles[d.Profile]
	if !ok {
		return nil, fmt.Errorf("profile %q is not one of %v", d.Profile, Profiles())
	}
	if d.Period < s.minPeriod {
		return nil, fmt.Errorf("profile %s needs a load of at least %v, not %v", d.Profile, s.minPeriod, d.Period)
	}
	e, err := readExample(d.Examples, d.Example, d.VMs)
	if err != nil {
		return nil, err
	}
	if d.Shards > 0 {
		e.setShardCount(d.Shards)
	}
	baseline, err := d.runPolicy(ctx, s, e, true)
	if err != nil {
		return nil, err
	}
	full, err := d.runPolicy(ctx, s, e, false)
	if err != nil {
		return nil, err
	}
	result = &Result{
		Example: d.Example, Profile: d.Profile, Seed: d.Seed, VMs: len(e.settings),
		Report: full[len(full)-1].report, Baseline: baseline[len(baseline)-1].report, Targets: s.targets(e, baseline, full),
	}
	return result, nil
}

// runPolicy runs all stages with one policy.
func (d *Demo) runPolicy(ctx context.Context, s scenario, e *example, baseline bool) (outcomes []outcome, err error) {
	for _, st := range s.stages(e, d.Period, d.Seed) {
		if d.Rate > 0 {
			st.rate = d.Rate
		}
		sys := &system{example: e, baseline: baseline, seed: d.Seed, useFaultProxies: st.useFaultProxies, logger: d.Logger}
		o, err := sys.run(ctx, st, d.Period)
		if err != nil {
			return nil, err
		}
		outcomes = append(outcomes, o)
	}
	return outcomes, nil
}
