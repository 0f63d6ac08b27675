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

// Times of the exchange of the list of entry VMs. An entry VM receives the
// whole list when it changes, and again when its digest shows that it has a
// different one. Disk VMs send each other their own followers periodically,
// which is a short list.
const (
	entryVMsPeriod      = 2 * time.Second        // between two messages to a disk VM while nothing changes
	entryVMsMinInterval = 300 * time.Millisecond // between two messages in any case, except after a start
	entryVMsStartPeriod = 2 * time.Second        // after a start, in which the entry VMs come back one after the other and every change is sent
	entryVMsStartDelay  = 300 * time.Millisecond // after a start, until the entry VMs that follow this VM are known
	entryVMsTimeout     = 6 * time.Second        // after which the list of another disk VM is dropped
)

// entryVMs holds the entry VMs of the fleet that execute portions of other VMs'
// requests. In the zero value none is known.
type entryVMs struct {
	followers map[model.VMID]model.EntryVM     // those that follow this VM; past followers are dropped before the list is used
	reported  map[model.VMID]reportedFollowers // by disk VM
	current   []model.EntryVM                  // last sent by a disk VM, or received by an entry VM; ascending by id
	checksum  uint64                           // of current; 0 when there is none
	sentAt    time.Time                        // when a disk VM last sent its followers
}

// reportedFollowers is another disk VM's list of the entry VMs that follow it.
type reportedFollowers struct {
	entryVMs []model.EntryVM
	at       time.Time // when it came
}

// Leave withdraws this VM from the entry VMs that execute portions, and
// notifies the VM that it follows at once.
func (c *Control) Leave(at time.Time, out []effect.Effect) []effect.Effect {
	c.settings.PortionAddr = netip.AddrPort{}
	if c.tree == nil {
		return out
	}
	return c.complete(len(out), c.tree.HandleTimer(at, out)) // sends a digest without an address for portions
}

// recordFollower records an entry VM that follows this one, or removes it when it
// executes no portions.
func (e *entryVMs) recordFollower(vm model.EntryVM) {
	if !vm.PortionAddr.IsValid() {
		delete(e.followers, vm.ID)
		return
	}
	if e.followers == nil {
		e.followers = make(map[model.VMID]model.EntryVM)
	}
	e.followers[vm.ID] = vm
}

// sendEntryVMs sends this VM's followers to the other disk VMs, and a changed
// list of all entry VMs to the followers.
func (c *Control) sendEntryVMs(at time.Time, out []effect.Effect) []effect.Effect {
	e := &c.entryVMs
	up := at.Sub(c.settings.ProcessStart)
	if up < entryVMsStartDelay || up >= entryVMsStartPeriod && at.Sub(e.sentAt) < entryVMsMinInterval {
		return out
	}
	following := c.followers(at)
	maps.DeleteFunc(e.followers, func(id model.VMID, _ model.EntryVM) bool { return !slices.Contains(following, id) })
	all := e.all(at)
	changed := !slices.Equal(all, e.current) || e.checksum == 0
	if at.Sub(e.sentAt) < entryVMsPeriod && !changed {
		return out
	}
	e.sentAt = at
	own := slices.SortedFunc(maps.Values(e.followers), byID)
	first := len(out)
	for _, id := range c.diskVMs() {
		if id != c.settings.VM.ID {
			out = append(out, effect.SendMessage{To: id, Message: frame.EntryVMs{VMs: own, Issues: true}})
		}
	}
	if changed {
		e.current, e.checksum = all, entryVMsChecksum(all)
		for _, id := range following {
			out = append(out, effect.SendMessage{To: id, Message: frame.EntryVMs{VMs: all}})
		}
	}
	return c.complete(first, out)
}

// all returns the entry VMs that follow this VM or another disk VM, ascending by
// id. It drops lists that are too old.
func (e *entryVMs) all(at time.Time) []model.EntryVM {
	all := make(map[model.VMID]model.EntryVM)
	for id, other := range e.reported {
		if at.Sub(other.at) >= entryVMsTimeout {
			delete(e.reported, id)
			continue
		}
		for _, vm := range other.entryVMs {
			all[vm.ID] = vm
		}
	}
	maps.Copy(all, e.followers)
	return slices.SortedFunc(maps.Values(all), byID)
}

// entryVMsChecksum returns a hash that identifies a sorted list. It is never 0,
// the value for no list.
func entryVMsChecksum(list []model.EntryVM) uint64 {
	h := fnv.New64a()
	for _, vm := range list {
		_, _ = h.Write([]byte(string(vm.ID) + "\x00" + string(vm.Zone) + "\x00" + vm.PortionAddr.String() + "\n")) // a hash never fails to write
	}
	return h.Sum64() | 1
}

func byID(a, b model.EntryVM) int { return cmp.Compare(a.ID, b.ID) }

// peerEntryVMs handles a list of entry VMs: on a disk VM, the followers of
// another disk VM; on an entry VM, all entry VMs as its parent knows them, which
// it passes to the traffic states.
func (c *Control) peerEntryVMs(at time.Time, from model.VMID, m frame.EntryVMs, out []effect.Effect) []effect.Effect {
	e := &c.entryVMs
	if c.settings.VM.HasDisk {
		if e.reported == nil {
			e.reported = make(map[model.VMID]reportedFollowers)
		}
		e.reported[from] = reportedFollowers{entryVMs: m.VMs, at: at}
		if m.Issues && !c.tokens.issues[from] {
			if c.tokens.issues == nil {
				c.tokens.issues = make(map[model.VMID]bool)
			}
			c.tokens.issues[from] = true
		}
		return out
	}
	if !c.isParent(from) || e.checksum != 0 && slices.Equal(m.VMs, e.current) {
		return out
	}
	e.current, e.checksum = m.VMs, entryVMsChecksum(m.VMs)
	return append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: event.EntryVMs{VMs: m.VMs}})
}
