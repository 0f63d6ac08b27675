package demo

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"comfreypulley/core/model"
)

const examples = "../../docs/examples"

// Guards against example settings in which a shard has all its replicas in one
// zone, or with fewer than the five disk VMs that the log needs to survive
// the loss of two.
func TestExamplesSurviveAZone(t *testing.T) {
	for name, want := range map[string]struct{ vms, zones, upstreams int }{
		"tabadul": {16, 4, 30 + 45 + 10 + 5},
		"kilimo":  {15, 3, 30 + 45 + 5 + 3},
	} {
		e, err := readExample(os.DirFS(examples), name, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(e.settings) != want.vms || len(e.zones) != want.zones || len(e.topology.Upstreams) != want.upstreams {
			t.Errorf("%s has %d VMs, %d zones, %d upstreams, want %v", name, len(e.settings), len(e.zones), len(e.topology.Upstreams), want)
		}
		zones := make(map[string]map[model.Zone]bool) // by service
		for id, u := range e.topology.Upstreams {
			if zones[serviceOf(id)] == nil {
				zones[serviceOf(id)] = make(map[model.Zone]bool)
			}
			zones[serviceOf(id)][u.Zone] = true
		}
		for service, in := range zones {
			if len(in) < 2 {
				t.Errorf("%s: all replicas of %s are in one zone", name, service)
			}
		}
		disks := 0
		for _, s := range e.settings {
			configured, ok := e.topology.VMs[s.VM.ID]
			if !ok || configured.Zone != s.VM.Zone || configured.PeerAddr != s.VM.PeerAddr || configured.HasDisk != s.VM.HasDisk {
				t.Errorf("%s: settings of %s do not match the fleet file", name, s.VM.ID)
			}
			if s.VM.HasDisk {
				disks++
			}
		}
		if disks != 5 {
			t.Errorf("%s has %d disk VMs, want 5", name, disks)
		}
	}
}

// Guards against a profile that cannot run, and against JSON output without the
// fields that scripts read.
func TestDemoJSON(t *testing.T) {
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	d := &Demo{
		Examples: os.DirFS(examples), Example: "kilimo", Profile: "straggler", Period: 500 * time.Millisecond, Seed: 1, VMs: 3, Logger: logger,
	}
	result, err := d.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if result.Queries == 0 || result.Queries != result.Baseline.Queries {
		t.Errorf("the policies got %d and %d queries, want the same load", result.Queries, result.Baseline.Queries)
	}
	if n := result.MixedSnapshots + result.ForeignItems + result.IncorrectAnswers + result.DuplicateRuns + result.FalseRefusals; n > 0 {
		t.Errorf("%d faults, want none: %q", n, result.Faults)
	}
	raw, err := json.Marshal(result)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{
		"queries", "whole", "partial", "refused", "failed", "mixed", "crossed", "untrue", "doubled", "falserefusals", "p50", "p99",
		"coverage", "extra", "lost", "plain", "targets",
	} {
		if _, ok := fields[name]; !ok {
			t.Errorf("JSON has no field %q", name)
		}
	}
}

// Guards against a script that at some time leaves no version with all its shards,
// so that no complete answer is possible.
func TestVersionsScriptKeepsAWholeVersion(t *testing.T) {
	e, err := readExample(os.DirFS(examples), "tabadul", 1)
	if err != nil {
		t.Fatal(err)
	}
	sys := &system{example: e}
	if err := sys.createStubs(); err != nil {
		t.Fatal(err)
	}
	for _, s := range (versions{}).stages(e, 8*time.Second, 1)[0].script {
		if err := s.apply(sys); err != nil {
			t.Fatal(err)
		}
		if !sys.allShardsHeld(e.queryIndex) {
			t.Fatalf("after %v no version has all its shards", s.at)
		}
	}
}

// createStubs makes the stubs of the queried index without listeners.
func (sys *system) createStubs() (err error) {
	sys.stubs, err = sys.makeStubs(sys.example.queryIndex)
	return err
}

// allShardsHeld reports whether the stubs hold all shards of some version.
func (sys *system) allShardsHeld(index string) bool {
	held := make(map[uint64]map[int]bool)
	total := make(map[uint64]int)
	for _, u := range sys.example.upstreams(index) {
		for _, h := range sys.stubs[u.ID].Settings().Snapshots {
			if held[h.Version] == nil {
				held[h.Version] = make(map[int]bool)
			}
			total[h.Version] = h.ShardCount
			for _, shard := range h.HeldShards {
				held[h.Version][shard] = true
			}
		}
	}
	for version, shards := range held {
		if len(shards) == total[version] {
			return true
		}
	}
	return false
}

// Guards against a target that is computed from no query.
func TestShortLoadIsRefused(t *testing.T) {
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	d := &Demo{Examples: os.DirFS(examples), Example: "kilimo", Profile: "zone", Period: 3 * adaptationTime, Seed: 1, VMs: 1, Logger: logger}
	if result, err := d.Run(t.Context()); err == nil {
		t.Errorf("a load of %v was accepted: %+v", d.Period, result.Targets)
	}
}
