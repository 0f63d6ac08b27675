package plane

import (
	"cmp"
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Pace of telling which entry VMs there are. An entry VM is told at a change, and
// again when its digest shows that it has another list; the VMs with disks are
// told of their followers all the time, which is short.
const (
	daemonsPeriod = 2 * time.Second // between two tellings of a VM with a disk without a change
	daemonsApart  = 300 * time.Millisecond
	daemonsSettle = 300 * time.Millisecond // after a start, when this VM does not know yet who follows it
	daemonsFade   = 6 * time.Second        // after which another VM's list is dropped
)

// daemons are the entry VMs that take portions of other VMs' requests. The zero
// value knows none.
type daemons struct {
	own    map[model.VMID]model.EntryVM // those that follow this VM, and earlier ones
	others map[model.VMID]followed
	told   []model.EntryVM // last told, ascending by id
	stamp  uint64          // of told; 0 when none was
	toldAt time.Time
}

// followed is what another VM said of the entry VMs that follow it.
type followed struct {
	daemons []model.EntryVM
	at      time.Time
}

// Leave takes this VM out of the list of those that take portions.
func (c *Control) Leave(at time.Time, out []effect.Effect) []effect.Effect {
	c.start.PortionAddr = netip.AddrPort{}
	if c.tree == nil {
		return out
	}
	return c.seal(len(out), c.tree.Timer(at, out)) // the digests say so
}

// follow notes an entry VM that follows this one, unless it takes no portions.
func (d *daemons) follow(daemon model.EntryVM) {
	if !daemon.PortionAddr.IsValid() {
		delete(d.own, daemon.ID)
		return
	}
	if d.own == nil {
		d.own = make(map[model.VMID]model.EntryVM)
	}
	d.own[daemon.ID] = daemon
}

// tellDaemons tells the other VMs with disks who follows this one, and those
// who follow it which entry VMs there are.
func (c *Control) tellDaemons(at time.Time, out []effect.Effect) []effect.Effect {
	d := &c.daemons
	if at.Sub(c.start.ProcessStart) < daemonsSettle || at.Sub(d.toldAt) < daemonsApart {
		return out
	}
	following := c.following(at)
	maps.DeleteFunc(d.own, func(id model.VMID, _ model.EntryVM) bool { return !slices.Contains(following, id) })
	all := d.all(at)
	changed := !slices.Equal(all, d.told) || d.stamp == 0
	if at.Sub(d.toldAt) < daemonsPeriod && !changed {
		return out
	}
	d.toldAt = at
	own := slices.SortedFunc(maps.Values(d.own), byID)
	from := len(out)
	for _, id := range c.disks() {
		if id != c.start.VM.ID {
			out = append(out, effect.SendMessage{To: id, Message: frame.EntryVMs{VMs: own}})
		}
	}
	if changed {
		d.told, d.stamp = all, stampOfDaemons(all)
		for _, id := range following {
			out = append(out, effect.SendMessage{To: id, Message: frame.EntryVMs{VMs: all}})
		}
	}
	return c.seal(from, out)
}

// all returns the entry VMs that follow this VM or another one, ascending by id.
func (d *daemons) all(at time.Time) []model.EntryVM {
	all := make(map[model.VMID]model.EntryVM)
	for id, other := range d.others {
		if at.Sub(other.at) >= daemonsFade {
			delete(d.others, id)
			continue
		}
		for _, daemon := range other.daemons {
			all[daemon.ID] = daemon
		}
	}
	maps.Copy(all, d.own)
	return slices.SortedFunc(maps.Values(all), byID)
}

// stampOfDaemons identifies a list, which is sorted. It is never 0.
func stampOfDaemons(list []model.EntryVM) uint64 {
	h := fnv.New64a()
	for _, d := range list {
		_, _ = h.Write([]byte(string(d.ID) + "\x00" + string(d.Zone) + "\x00" + d.PortionAddr.String() + "\n")) // never fails
	}
	return h.Sum64() | 1
}

func byID(a, b model.EntryVM) int { return cmp.Compare(a.ID, b.ID) }

// peerDaemons takes the entry VMs that another VM knows.
func (c *Control) peerDaemons(at time.Time, from model.VMID, m frame.EntryVMs, out []effect.Effect) []effect.Effect {
	d := &c.daemons
	if c.start.VM.HasDisk {
		if d.others == nil {
			d.others = make(map[model.VMID]followed)
		}
		d.others[from] = followed{daemons: m.VMs, at: at}
		return out
	}
	if d.stamp != 0 && slices.Equal(m.VMs, d.told) {
		return out
	}
	d.told, d.stamp = m.VMs, stampOfDaemons(m.VMs)
	return append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: event.EntryVMs{VMs: m.VMs}})
}
