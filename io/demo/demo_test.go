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

// Guards against example settings that lose a shard with a zone, or whose disks
// cannot lose two VMs.
func TestExamplesSurviveAZone(t *testing.T) {
	for name, want := range map[string]struct{ vms, zones, upstreams int }{
		"tabadul": {16, 4, 30 + 45 + 10 + 5},
		"kilimo":  {15, 3, 30 + 45 + 5 + 3},
	} {
		l, err := readLike(os.DirFS(examples), name, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(l.settings) != want.vms || len(l.zones) != want.zones || len(l.fleet.Upstreams) != want.upstreams {
			t.Errorf("%s has %d VMs, %d zones, %d upstreams, want %v", name, len(l.settings), len(l.zones), len(l.fleet.Upstreams), want)
		}
		zones := make(map[string]map[model.Zone]bool) // by service
		for id, u := range l.fleet.Upstreams {
			if zones[service(id)] == nil {
				zones[service(id)] = make(map[model.Zone]bool)
			}
			zones[service(id)][u.Zone] = true
		}
		for service, in := range zones {
			if len(in) < 2 {
				t.Errorf("%s: all replicas of %s are in one zone", name, service)
			}
		}
		disks := 0
		for _, s := range l.settings {
			configured, ok := l.fleet.VMs[s.VM.ID]
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

// Guards against a profile that cannot run, and against output without the
// fields that scripts read.
func TestDemoJSON(t *testing.T) {
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	d := &Demo{
		Examples: os.DirFS(examples), Like: "kilimo", Profile: "straggler", Period: 500 * time.Millisecond, Seed: 1, VMs: 3, Logger: logger,
	}
	result, err := d.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if result.Queries == 0 || result.Queries != result.Plain.Queries {
		t.Errorf("%d and %d queries of the two policies, want the same load", result.Queries, result.Plain.Queries)
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

// Guards against a script that leaves a moment at which no version is whole,
// which no tier could serve.
func TestVersionsScriptKeepsAWholeVersion(t *testing.T) {
	l, err := readLike(os.DirFS(examples), "tabadul", 1)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{like: l}
	if err := w.prepare(); err != nil {
		t.Fatal(err)
	}
	for _, s := range (versions{}).stages(l, 8*time.Second, 1)[0].script {
		if err := s.do(w); err != nil {
			t.Fatal(err)
		}
		if !w.whole(l.lookup) {
			t.Fatalf("after %v no version is whole", s.at)
		}
	}
}

// prepare makes the stand-ins of the quick lookups without their listeners.
func (w *world) prepare() (err error) {
	w.stubs, err = w.newStubs(w.like.lookup)
	return err
}

// whole reports whether all shards of some version are held.
func (w *world) whole(index string) bool {
	held := make(map[uint64]map[int]bool)
	total := make(map[uint64]int)
	for _, u := range w.like.upstreams(index) {
		for _, h := range w.stubs[u.ID].Settings().Snapshots {
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

// Guards against a target that is judged by no query at all.
func TestShortLoadIsRefused(t *testing.T) {
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	d := &Demo{Examples: os.DirFS(examples), Like: "kilimo", Profile: "zone", Period: 3 * afterFault, Seed: 1, VMs: 1, Logger: logger}
	if result, err := d.Run(t.Context()); err == nil {
		t.Errorf("a load of %v was judged: %+v", d.Period, result.Targets)
	}
}
