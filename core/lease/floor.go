package lease

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"comfreypulley/core/model"
)

// Times after which leases end and raised floors come into use. On the leader a
// lease lasts leaderMargin longer than on its holder.
const (
	leaseDuration = 3 * time.Second // on the holder
	leaderMargin  = time.Second     // covers clock drift and a replaced leader's delay in stepping down
	raiseDelay    = 6 * time.Second // time in which every reachable VM receives a new configuration
)

// fleetVMs describes the VMs of one configuration, on which the floors depend.
type fleetVMs struct {
	ids       []model.VMID // registered VMs, ascending
	position  int          // index of this VM in ids, -1 when it is not registered
	hasDiskVM bool         // there is a disk VM, so half of each limit can be leased
}

func newFleetVMs(self model.VMID, t *model.Topology) fleetVMs {
	f := fleetVMs{ids: slices.Sorted(maps.Keys(t.VMs))}
	f.position = slices.Index(f.ids, self)
	for _, vm := range t.VMs {
		f.hasDiskVM = f.hasDiskVM || vm.HasDisk
	}
	return f
}

// floorTotal returns the part of a limit that is divided into floors.
func (f *fleetVMs) floorTotal(limit int) int {
	if f.hasDiskVM {
		return limit / 2
	}
	return limit
}

// floor returns this VM's part of a total, so that the parts of all VMs add up
// to the total. The remainder is distributed one each to consecutive VMs,
// starting at one selected by the name, so that small limits do not all go to
// the same VMs.
func (f *fleetVMs) floor(name string, total int) int {
	n := len(f.ids)
	if f.position < 0 || n == 0 {
		return 0
	}
	share, remainder := total/n, total%n
	if remainder > 0 && (f.position+int(hash(name)%uint64(n)))%n < remainder {
		share++
	}
	return share
}

// connFloor returns this VM's part of an upstream's connections. All VMs get
// the same number, even if that leaves a remainder unused, unless there are
// fewer connections than VMs.
func (f *fleetVMs) connFloor(u *model.Upstream) int {
	if n := len(f.ids); f.position >= 0 && n > 0 && u.MaxConns >= n {
		return u.MaxConns / n
	}
	return f.floor(string(u.ID), u.MaxConns)
}

func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
