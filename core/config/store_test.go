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

// TestMain fixes the seed of the property tests, so that every run generates the
// same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

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

// drawChange generates a change that the store may accept or reject.
func drawChange(t *rapid.T, s *config.Store) entry.Change {
	topology := s.Topology()
	var c entry.Change
	if rapid.Bool().Draw(t, "resendable") {
		c.Op = model.OpID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "op"))
	}
	offset := model.Revision(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "stale"))
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		v := contract(rapid.SampledFrom([]string{"acme", "bolt", "no name"}).Draw(t, "customer"))
		v.Concurrency = rapid.IntRange(0, 5).Draw(t, "concurrency")
		v.Retired = rapid.Bool().Draw(t, "retired")
		c.Contract, c.ExpectedRevision = &v, topology.Contracts[v.Customer].Revision+offset
	case 1:
		v := upstream(rapid.IntRange(0, 3).Draw(t, "upstream"))
		v.Slots = rapid.IntRange(0, 4).Draw(t, "slots")
		c.Upstream, c.ExpectedRevision = &v, topology.Upstreams[v.ID].Revision+offset
	case 2:
		id := upstream(rapid.IntRange(0, 3).Draw(t, "drained")).ID
		c.Upstream, c.ExpectedRevision = &model.Upstream{ID: id, State: model.StateDraining}, topology.Upstreams[id].Revision+offset
	case 3:
		v := vm(model.VMID(rapid.SampledFrom([]string{"vm0", "vm1"}).Draw(t, "vm")), rapid.Bool().Draw(t, "disk"))
		c.VM, c.ExpectedRevision = &v, topology.VMs[v.ID].Revision+offset
	case 4:
		id := upstream(rapid.IntRange(0, 3).Draw(t, "removed")).ID
		c.Remove, c.ExpectedRevision = &entry.Removal{Upstream: id}, topology.Upstreams[id].Revision+offset
	default:
		id := model.VMID(rapid.SampledFrom([]string{"vm0", "vm1"}).Draw(t, "gone"))
		c.Remove, c.ExpectedRevision = &entry.Removal{VM: id}, topology.VMs[id].Revision+offset
	}
	return c
}

// replicas are the store of a leader, one that applies the same changes and is
// restored from the leader's images, and one that applies the leader's deltas.
type replicas struct {
	leader, restored, child config.Store
}

// Guards against replicas that diverge, a published topology that changes, a
// revision that decreases, and a checksum that depends on how the content was
// reached: stores that apply changes, apply deltas or restore images must end
// with the same content.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r replicas
		now := startTime
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
	c := drawChange(t, &r.leader)
	got, same := r.leader.Apply(now, c), r.restored.Apply(now, c)
	if !reflect.DeepEqual(got, same) {
		t.Fatalf("replicas answered %v and %v", got, same)
	}
	if r.leader.Revision() < before || r.leader.Revision() > before+1 {
		t.Fatalf("revision went from %d to %d", before, r.leader.Revision())
	}
}

func (r *replicas) follow(t *rapid.T) {
	changes, ok := r.leader.ChangesSince(r.child.Revision())
	if !ok {
		t.Fatalf("changes since %d are not retained", r.child.Revision())
	}
	d := frame.ConfigDelta{From: r.child.Revision(), To: r.leader.Revision(), Changes: changes, Checksum: r.leader.Checksum()}
	wrongChecksum := d
	wrongChecksum.Checksum++
	sum := r.child.Checksum()
	if err := r.child.ApplyDelta(wrongChecksum); err == nil && len(changes) > 0 || r.child.Checksum() != sum {
		t.Fatalf("a delta with a wrong checksum gave %v, and the sum %x, want %x", err, r.child.Checksum(), sum)
	}
	if err := r.child.ApplyDelta(d); err != nil {
		t.Fatal(err)
	}
	if r.child.Checksum() != r.leader.Checksum() {
		t.Fatalf("child has sum %x, want %x", r.child.Checksum(), r.leader.Checksum())
	}
}

func (r *replicas) restore(t *rapid.T) {
	r.restored = config.Store{}
	r.restored.Restore(r.leader.Image())
	if r.restored.Checksum() != r.leader.Checksum() || !reflect.DeepEqual(r.restored.Image(), r.leader.Image()) {
		t.Fatalf("after a restore got %+v, want %+v", r.restored.Image(), r.leader.Image())
	}
}

func (r *replicas) restoreOlder(t *rapid.T) {
	if r.leader.Revision() == 0 {
		return
	}
	old := r.leader.Image()
	old.Revision--
	sum := r.leader.Checksum()
	if r.leader.Restore(old); r.leader.Checksum() != sum {
		t.Fatal("an older image changed the configuration")
	}
}

// Guards against two changes of one revision that are both accepted, and against
// a rejected change whose result lacks the current revision.
func TestOneWinnerPerRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s config.Store
		v := contract("acme")
		s.Apply(startTime, entry.Change{Contract: &v})
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			expected := s.Topology().Contracts["acme"].Revision
			winner, winners := model.Revision(0), 0
			for n := range rapid.IntRange(1, 5).Draw(t, "racers") {
				v.Concurrency = 1 + n
				r := s.Apply(startTime, entry.Change{Op: model.OpID(fmt.Sprint(s.Revision(), "-", n)), ExpectedRevision: expected, Contract: &v})
				switch {
				case r.Status == entry.StatusOK:
					winner, winners = r.Revision, winners+1
				case r.Status != entry.StatusConflict || r.Revision != winner:
					t.Fatalf("a loser got %v, want a conflict with revision %d", r, winner)
				}
			}
			if winners != 1 {
				t.Fatalf("got %d winners, want 1", winners)
			}
		}
	})
}

// Guards against a resent change that is applied again or returns another
// result, also after a restore from an image, and against stored results that
// grow without bound.
func TestResendGetsFirstResult(t *testing.T) {
	var s config.Store
	v := contract("acme")
	first := entry.Change{Op: "op", Contract: &v}
	want := s.Apply(startTime, first)
	other := contract("acme")
	other.Concurrency = 20
	s.Apply(startTime, entry.Change{Op: "next", ExpectedRevision: want.Revision, Contract: &other})
	var restored config.Store
	restored.Restore(s.Image())
	for _, s := range []*config.Store{&s, &restored} {
		if got := s.Apply(startTime.Add(time.Minute), first); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		if got := s.Topology().Contracts["acme"].Concurrency; got != 20 {
			t.Errorf("the resend set concurrency %d, want 20", got)
		}
		second := first
		second.ExpectedRevision = 2
		if got := s.Apply(startTime, second); got.Status != entry.StatusInvalid {
			t.Errorf("another change with the same id got %v, want invalid", got)
		}
	}
	for n := range 5000 {
		s.Apply(startTime.Add(time.Duration(n)*time.Second), entry.Change{Op: model.OpID(strconv.Itoa(n)), Remove: &entry.Removal{}})
	}
	if got, most := len(s.Image().Ops), 3601; got > most {
		t.Errorf("got %d remembered results, want at most %d", got, most)
	}
}

// Guards against malformed changes that are applied, and against results without
// a detail.
func TestInvalidChanges(t *testing.T) {
	var s config.Store
	u, diskVM := upstream(1), vm("vm0", true)
	s.Apply(startTime, entry.Change{Upstream: &u})
	s.Apply(startTime, entry.Change{VM: &diskVM})
	sameAddr := upstream(2)
	sameAddr.Addr = u.Addr
	duplicateClass := contract("acme")
	secondClass := duplicateClass.Classes[0]
	secondClass.Wait *= 2
	duplicateClass.Classes = append(duplicateClass.Classes, secondClass)
	noAddr := upstream(3)
	noAddr.Addr = netip.AddrPort{}
	for name, c := range map[string]entry.Change{
		"nothing":         {},
		"two objects":     {Upstream: &sameAddr, VM: &diskVM},
		"taken address":   {Upstream: &sameAddr},
		"no address":      {Upstream: &noAddr},
		"class twice":     {Contract: &duplicateClass},
		"empty removal":   {Remove: &entry.Removal{}, ExpectedRevision: 1},
		"last disk":       {Remove: &entry.Removal{VM: "vm0"}, ExpectedRevision: 2},
		"blind removal":   {Remove: &entry.Removal{VM: "vm1"}},
		"unknown drained": {Upstream: &model.Upstream{ID: "u9", State: model.StateDraining}},
	} {
		before := s.Checksum()
		got := s.Apply(startTime, c)
		if got.Status != entry.StatusInvalid || got.Detail == "" || s.Checksum() != before {
			t.Errorf("%s: got %v, want invalid with a detail and no change", name, got)
		}
	}
}

// Guards against a second initial configuration that replaces the current one.
func TestInitialConfigIsAppliedOnlyOnce(t *testing.T) {
	var s config.Store
	initial := entry.Config{Contracts: []model.Contract{contract("acme")}, VMs: []model.VM{vm("vm0", true)}}
	if got := s.Apply(startTime, entry.Change{InitialConfig: &initial}); got.Status != entry.StatusOK || got.Revision != 1 {
		t.Fatalf("got %v, want ok at revision 1", got)
	}
	if got := s.Apply(startTime, entry.Change{InitialConfig: &initial}); got.Status != entry.StatusConflict {
		t.Errorf("got %v, want a conflict", got)
	}
	if got := s.Topology().Contracts["acme"].Revision; got != 1 {
		t.Errorf("got revision %d, want 1", got)
	}
}

// BenchmarkApply measures the cost of a change at different numbers of upstreams.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 34_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var s config.Store
			for i := range n {
				u := upstream(i)
				s.Apply(startTime, entry.Change{Upstream: &u})
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
				revisions[i] = s.Apply(startTime, entry.Change{Upstream: &u, ExpectedRevision: revisions[i]}).Revision
			}
		})
	}
}

// BenchmarkPublish measures the cost of a change followed by Topology, for a
// contract and for an upstream, at different numbers of upstreams.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{100, 34_000} {
		var s config.Store
		for i := range n {
			u := upstream(i)
			s.Apply(startTime, entry.Change{Upstream: &u})
		}
		v, u := contract("acme"), upstream(0)
		b.Run("contract/"+strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				s.Apply(startTime, entry.Change{Contract: &v, ExpectedRevision: s.Topology().Contracts["acme"].Revision})
				s.Topology()
			}
		})
		b.Run("upstream/"+strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				s.Apply(startTime, entry.Change{Upstream: &u, ExpectedRevision: s.Topology().Upstreams[u.ID].Revision})
				s.Topology()
			}
		})
	}
}
