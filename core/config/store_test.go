package config_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/config"
	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// TestMain fixes the seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func upstream(n int) model.Upstream {
	return model.Upstream{
		ID: model.UpstreamID(fmt.Sprintf("u%d", n)), Zone: "a", Index: "pairing", Slots: 3, MaxConns: 65,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 80),
	}
}

func contract(customer string) model.Contract {
	return model.Contract{
		Customer: customer, Indexes: []string{"pairing"}, Concurrency: 10, Capacity: 1, RetryBudget: 0.05, Retention: time.Hour,
		Classes: []model.Class{{Name: "now", Wait: 50 * time.Millisecond, Price: 5, Weight: 1, MinCoverage: 0.5}},
	}
}

func vm(id model.VMID, disk bool) model.VM {
	return model.VM{ID: id, Zone: "a", HasDisk: disk, PeerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, id[2]}), 90)}
}

// draw gives a change that may or may not fit the store.
func draw(t *rapid.T, s *config.Store) entry.Change {
	topology := s.Topology()
	var c entry.Change
	if rapid.Bool().Draw(t, "resendable") {
		c.Op = model.OpID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "op"))
	}
	off := model.Revision(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "stale"))
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		v := contract(rapid.SampledFrom([]string{"acme", "bolt", "no name"}).Draw(t, "customer"))
		v.Concurrency = rapid.IntRange(0, 5).Draw(t, "concurrency")
		v.Retired = rapid.Bool().Draw(t, "retired")
		c.Contract, c.ExpectedRevision = &v, topology.Contracts[v.Customer].Revision+off
	case 1:
		v := upstream(rapid.IntRange(0, 3).Draw(t, "upstream"))
		v.Slots = rapid.IntRange(0, 4).Draw(t, "slots")
		c.Upstream, c.ExpectedRevision = &v, topology.Upstreams[v.ID].Revision+off
	case 2:
		id := upstream(rapid.IntRange(0, 3).Draw(t, "drained")).ID
		c.Upstream, c.ExpectedRevision = &model.Upstream{ID: id, State: model.StateDraining}, topology.Upstreams[id].Revision+off
	case 3:
		v := vm(model.VMID(rapid.SampledFrom([]string{"vm0", "vm1"}).Draw(t, "vm")), rapid.Bool().Draw(t, "disk"))
		c.VM, c.ExpectedRevision = &v, topology.VMs[v.ID].Revision+off
	case 4:
		id := upstream(rapid.IntRange(0, 3).Draw(t, "removed")).ID
		c.Remove, c.ExpectedRevision = &entry.Removal{Upstream: id}, topology.Upstreams[id].Revision+off
	default:
		id := model.VMID(rapid.SampledFrom([]string{"vm0", "vm1"}).Draw(t, "gone"))
		c.Remove, c.ExpectedRevision = &entry.Removal{VM: id}, topology.VMs[id].Revision+off
	}
	return c
}

// replicas are a leader's store, one that is restored from its images and one
// that follows its deltas.
type replicas struct {
	leader, twin, child config.Store
}

// Guards against replicas that diverge, a published topology that changes, a
// revision that goes back and a checksum that depends on the path: replicas
// that apply, follow deltas or restore images end with the same content.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r replicas
		now := began
		var seen *model.Topology
		var copied entry.Config
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-1, 20).Draw(t, "minutes")) * time.Minute)
			r.apply(t, now)
			switch rapid.IntRange(0, 4).Draw(t, "spread") {
			case 0:
				r.follow(t)
			case 1:
				r.restore(t)
			case 2:
				r.restoreOlder(t)
			case 3:
				seen, copied = r.leader.Topology(), r.leader.Image()
			}
		}
		if seen != nil && (len(seen.Upstreams) != len(copied.Upstreams) || len(seen.Contracts) != len(copied.Contracts)) {
			t.Fatal("a published topology changed its size")
		}
		for _, u := range copied.Upstreams {
			if seen.Upstreams[u.ID] != u {
				t.Fatalf("published upstream is %v, want %v", seen.Upstreams[u.ID], u)
			}
		}
	})
}

func (r *replicas) apply(t *rapid.T, now time.Time) {
	before := r.leader.Revision()
	c := draw(t, &r.leader)
	got, same := r.leader.Apply(now, c), r.twin.Apply(now, c)
	if !reflect.DeepEqual(got, same) {
		t.Fatalf("replicas answered %v and %v", got, same)
	}
	if r.leader.Revision() < before || r.leader.Revision() > before+1 {
		t.Fatalf("revision went from %d to %d", before, r.leader.Revision())
	}
}

func (r *replicas) follow(t *rapid.T) {
	changes, ok := r.leader.Since(r.child.Revision())
	if !ok {
		t.Fatalf("changes since %d are not retained", r.child.Revision())
	}
	d := frame.ConfigDelta{From: r.child.Revision(), To: r.leader.Revision(), Changes: changes, Checksum: r.leader.Sum()}
	wrong := d
	wrong.Checksum++
	sum := r.child.Sum()
	if err := r.child.Follow(wrong); err == nil && len(changes) > 0 || r.child.Sum() != sum {
		t.Fatalf("a delta with a wrong checksum gave %v, and the sum %x, want %x", err, r.child.Sum(), sum)
	}
	if err := r.child.Follow(d); err != nil {
		t.Fatal(err)
	}
	if r.child.Sum() != r.leader.Sum() {
		t.Fatalf("child has sum %x, want %x", r.child.Sum(), r.leader.Sum())
	}
}

func (r *replicas) restore(t *rapid.T) {
	r.twin = config.Store{}
	r.twin.Restore(r.leader.Image())
	if r.twin.Sum() != r.leader.Sum() || !reflect.DeepEqual(r.twin.Image(), r.leader.Image()) {
		t.Fatalf("after a restore got %+v, want %+v", r.twin.Image(), r.leader.Image())
	}
}

func (r *replicas) restoreOlder(t *rapid.T) {
	if r.leader.Revision() == 0 {
		return
	}
	old := r.leader.Image()
	old.Revision--
	sum := r.leader.Sum()
	if r.leader.Restore(old); r.leader.Sum() != sum {
		t.Fatal("an older image changed the configuration")
	}
}

// Guards against two winners of a race and against a loser that is not told the
// current revision.
func TestOneWinnerPerRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s config.Store
		v := contract("acme")
		s.Apply(began, entry.Change{Contract: &v})
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			expect := s.Topology().Contracts["acme"].Revision
			winner, won := model.Revision(0), 0
			for n := range rapid.IntRange(1, 5).Draw(t, "racers") {
				v.Concurrency = 1 + n
				r := s.Apply(began, entry.Change{Op: model.OpID(fmt.Sprint(s.Revision(), "-", n)), ExpectedRevision: expect, Contract: &v})
				switch {
				case r.Status == entry.StatusOK:
					winner, won = r.Revision, won+1
				case r.Status != entry.StatusConflict || r.Revision != winner:
					t.Fatalf("a loser got %v, want a conflict with revision %d", r, winner)
				}
			}
			if won != 1 {
				t.Fatalf("got %d winners, want 1", won)
			}
		}
	})
}

// Guards against a resend that is applied again or gets another answer, also
// through an image, and against memory that grows with the operations.
func TestResendGetsFirstResult(t *testing.T) {
	var s config.Store
	v := contract("acme")
	first := entry.Change{Op: "op", Contract: &v}
	want := s.Apply(began, first)
	other := contract("acme")
	other.Concurrency = 20
	s.Apply(began, entry.Change{Op: "next", ExpectedRevision: want.Revision, Contract: &other})
	var restored config.Store
	restored.Restore(s.Image())
	for _, s := range []*config.Store{&s, &restored} {
		if got := s.Apply(began.Add(time.Minute), first); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		if got := s.Topology().Contracts["acme"].Concurrency; got != 20 {
			t.Errorf("the resend set concurrency %d, want 20", got)
		}
		second := first
		second.ExpectedRevision = 2
		if got := s.Apply(began, second); got.Status != entry.StatusInvalid {
			t.Errorf("another change with the same id got %v, want invalid", got)
		}
	}
	for n := range 5000 {
		s.Apply(began.Add(time.Duration(n)*time.Second), entry.Change{Op: model.OpID(strconv.Itoa(n)), Remove: &entry.Removal{}})
	}
	if got, most := len(s.Image().Ops), 3601; got > most {
		t.Errorf("got %d remembered results, want at most %d", got, most)
	}
}

// Guards against malformed changes in force and results without a cause.
func TestInvalidChanges(t *testing.T) {
	var s config.Store
	u, only := upstream(1), vm("vm0", true)
	s.Apply(began, entry.Change{Upstream: &u})
	s.Apply(began, entry.Change{VM: &only})
	taken := upstream(2)
	taken.Addr = u.Addr
	twice := contract("acme")
	later := twice.Classes[0]
	later.Wait *= 2
	twice.Classes = append(twice.Classes, later)
	nowhere := upstream(3)
	nowhere.Addr = netip.AddrPort{}
	for name, c := range map[string]entry.Change{
		"nothing":         {},
		"two objects":     {Upstream: &taken, VM: &only},
		"taken address":   {Upstream: &taken},
		"no address":      {Upstream: &nowhere},
		"class twice":     {Contract: &twice},
		"empty removal":   {Remove: &entry.Removal{}, ExpectedRevision: 1},
		"last disk":       {Remove: &entry.Removal{VM: "vm0"}, ExpectedRevision: 2},
		"blind removal":   {Remove: &entry.Removal{VM: "vm1"}},
		"unknown drained": {Upstream: &model.Upstream{ID: "u9", State: model.StateDraining}},
	} {
		before := s.Sum()
		got := s.Apply(began, c)
		if got.Status != entry.StatusInvalid || got.Detail == "" || s.Sum() != before {
			t.Errorf("%s: got %v, want invalid with a detail and no change", name, got)
		}
	}
}

// Guards against a second genesis that replaces the configuration.
func TestGenesisOnlyOnce(t *testing.T) {
	var s config.Store
	g := entry.Config{Contracts: []model.Contract{contract("acme")}, VMs: []model.VM{vm("vm0", true)}}
	if got := s.Apply(began, entry.Change{InitialConfig: &g}); got.Status != entry.StatusOK || got.Revision != 1 {
		t.Fatalf("got %v, want ok at revision 1", got)
	}
	if got := s.Apply(began, entry.Change{InitialConfig: &g}); got.Status != entry.StatusConflict {
		t.Errorf("got %v, want a conflict", got)
	}
	if got := s.Topology().Contracts["acme"].Revision; got != 1 {
		t.Errorf("got revision %d, want 1", got)
	}
}

// BenchmarkApply shows the cost of a change at different numbers of upstreams.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 34_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var s config.Store
			for i := range n {
				u := upstream(i)
				s.Apply(began, entry.Change{Upstream: &u})
			}
			r := rand.New(rand.NewPCG(1, 1))
			revisions := make([]model.Revision, n)
			for i := range revisions {
				revisions[i] = model.Revision(i + 1)
			}
			b.ResetTimer()
			for range b.N {
				i := r.IntN(n)
				u := upstream(i)
				revisions[i] = s.Apply(began, entry.Change{Upstream: &u, ExpectedRevision: revisions[i]}).Revision
			}
		})
	}
}

// BenchmarkPublish shows the cost of a change that is published at once, for a
// contract and for an upstream among the given number of upstreams.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{100, 34_000} {
		var s config.Store
		for i := range n {
			u := upstream(i)
			s.Apply(began, entry.Change{Upstream: &u})
		}
		v, u := contract("acme"), upstream(0)
		b.Run("contract/"+strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				s.Apply(began, entry.Change{Contract: &v, ExpectedRevision: s.Topology().Contracts["acme"].Revision})
				s.Topology()
			}
		})
		b.Run("upstream/"+strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				s.Apply(began, entry.Change{Upstream: &u, ExpectedRevision: s.Topology().Upstreams[u.ID].Revision})
				s.Topology()
			}
		})
	}
}
