package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

var epoch = time.Unix(1_700_000_000, 0)

// group runs a watch on every VM. The first one is the parent of all others.
type group struct {
	now     time.Time
	ids     []model.VMID
	watches map[model.VMID]*Watch
	dead    map[model.VMID]bool
	cut     map[[2]model.VMID]bool
	silent  map[model.VMID]bool // sends its digests elsewhere
	notes   []effect.Note
}

func newGroup(n int) *group {
	g := &group{
		now: epoch, watches: map[model.VMID]*Watch{}, dead: map[model.VMID]bool{}, cut: map[[2]model.VMID]bool{},
		silent: map[model.VMID]bool{},
	}
	vms := map[model.VMID]model.VM{}
	for i := range n {
		id := model.VMID(fmt.Sprint("vm", i))
		g.ids = append(g.ids, id)
		vms[id] = model.VM{ID: id}
	}
	for i, id := range g.ids {
		g.watches[id] = &Watch{Self: vms[id], Seed: uint64(i)}
		g.watches[id].Register(vms)
	}
	return g
}

func (g *group) carry(from model.VMID, out []effect.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case effect.Note:
			g.notes = append(g.notes, e)
		case effect.SendMessage:
			if !g.dead[e.To] && !g.dead[from] && !g.cut[[2]model.VMID{from, e.To}] {
				g.carry(e.To, g.watches[e.To].Peer(g.now, from, e.Message, nil))
			}
		}
	}
}

func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(period / 2) {
		for i, id := range g.ids {
			if g.dead[id] {
				continue
			}
			if i > 0 && !g.silent[id] && !g.cut[[2]model.VMID{id, g.ids[0]}] {
				g.carry(g.ids[0], g.watches[g.ids[0]].Heard(g.now, id, nil))
			}
			g.carry(id, g.watches[id].Timer(g.now, nil))
		}
	}
}

func (g *group) suspects() []model.VMID { return g.watches[g.ids[0]].Suspects(g.now) }

func (g *group) part(a, b model.VMID, cut bool) {
	g.cut[[2]model.VMID{a, b}] = cut
	g.cut[[2]model.VMID{b, a}] = cut
}

// Guards against a failed VM that nobody suspects, and one that stays suspected
// after it came back.
func TestWatchSuspects(t *testing.T) {
	g := newGroup(5)
	g.run(5 * time.Second)
	g.dead["vm3"] = true
	g.run(7 * time.Second)
	if got, want := g.suspects(), []model.VMID{"vm3"}; !slices.Equal(got, want) {
		t.Fatalf("suspects %v, want %v", got, want)
	}
	if len(g.notes) != 1 || g.notes[0].Cause == "" {
		t.Errorf("notes %v, want one with a cause", g.notes)
	}
	g.dead["vm3"] = false
	g.run(time.Second)
	if got := g.suspects(); len(got) != 0 {
		t.Errorf("suspects %v after the return, want none", got)
	}
}

// Guards against a suspicion for a cut link, or for a VM that chose another
// parent.
func TestWatchAsksWitnesses(t *testing.T) {
	g := newGroup(5)
	g.run(5 * time.Second)
	g.part("vm0", "vm3", true)
	g.silent["vm2"] = true
	g.run(time.Minute)
	if got := g.suspects(); len(got) != 0 {
		t.Errorf("suspects %v, want none: the witnesses reach all", got)
	}
}

// Guards against any suspicion of a VM that some live witness reaches, whatever
// links are cut.
func TestWatchNeverSuspectsTheReachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(5)
		g.run(2 * time.Second)
		for _, id := range g.ids[1:] {
			g.part("vm0", id, rapid.Bool().Draw(t, "cut "+string(id)))
		}
		g.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
		// With all witnesses connected, only a VM without a reachable witness can be suspected.
		reachable := 0
		for _, id := range g.ids[1:] {
			if !g.cut[[2]model.VMID{"vm0", id}] {
				reachable++
			}
		}
		if got := g.suspects(); reachable >= witnesses+1 && len(got) != 0 {
			t.Fatalf("suspects %v with %d reachable witnesses, want none", got, reachable)
		}
	})
}

// Guards against a VM that comes and goes and is trusted each time, and one
// that is never trusted again.
func TestWatchDampsFlaps(t *testing.T) {
	g := newGroup(5)
	g.run(2 * time.Second)
	for range 5 {
		g.dead["vm3"] = true
		g.run(8 * time.Second)
		g.dead["vm3"] = false
		g.run(2 * time.Second)
	}
	if got, want := g.suspects(), []model.VMID{"vm3"}; !slices.Equal(got, want) {
		t.Errorf("suspects %v after five flaps, want %v; notes %v", got, want, g.notes)
	}
	g.run(90 * time.Second)
	if got := g.suspects(); len(got) != 0 {
		t.Errorf("suspects %v after 90 s of calm, want none", got)
	}
}

// Guards against a decision by the platform's list, which lags.
func TestWatchHint(t *testing.T) {
	g := newGroup(3)
	g.run(2 * time.Second)
	w := g.watches["vm0"]
	out := w.Hint(g.now.Add(2*period), event.PlatformVMs{Leaving: []model.VMID{"vm1"}}, nil)
	if got := w.Suspects(g.now); len(got) != 0 {
		t.Errorf("suspects %v by the list alone, want none", got)
	}
	probes := 0
	for _, e := range out {
		if tell, ok := e.(effect.SendMessage); ok && tell.Message.Kind() == frame.KindIndirectPing {
			probes++
		}
	}
	if probes == 0 {
		t.Error("a VM that is not listed as live is not probed")
	}
}
