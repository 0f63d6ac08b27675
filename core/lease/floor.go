package lease

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"comfreypulley/core/model"
)

// Times that decide when leases end and floors are raised.
const (
	length      = 3 * time.Second // validity of a lease
	uncertainty = time.Second     // how much longer the leader counts a lease; covers clock drift and a replaced leader's delay in stepping down
	raiseAfter  = 6 * time.Second // time in which every reachable VM gets a new configuration
)

// fleet contains what the floors of one configuration depend on.
type fleet struct {
	vms      []model.VMID // registered VMs, ascending
	position int          // index of this VM in vms, -1 when it is not registered
	leased   bool         // there is a disk VM, so half of each limit can be leased
}

func newFleet(self model.VMID, t *model.Topology) fleet {
	f := fleet{vms: slices.Sorted(maps.Keys(t.VMs))}
	f.position = slices.Index(f.vms, self)
	for _, vm := range t.VMs {
		f.leased = f.leased || vm.HasDisk
	}
	return f
}

// fixed returns the part of a limit that is divided into floors.
func (f *fleet) fixed(limit int) int {
	if f.leased {
		return limit / 2
	}
	return limit
}

// floor returns this VM's part of a total, so that the parts of all VMs add up
// to the total. The remainder is distributed one each to consecutive VMs,
// starting at one selected by the name, so that small limits do not all go to
// the same VMs.
func (f *fleet) floor(name string, total int) int {
	n := len(f.vms)
	if f.position < 0 || n == 0 {
		return 0
	}
	share, rest := total/n, total%n
	if rest > 0 && (f.position+int(hash(name)%uint64(n)))%n < rest {
		share++
	}
	return share
}

// conns returns this VM's part of an upstream's connections. All VMs get the
// same number, even if that leaves a remainder unused, unless there are fewer
// connections than VMs.
func (f *fleet) conns(u *model.Upstream) int {
	if n := len(f.vms); f.position >= 0 && n > 0 && u.MaxConns >= n {
		return u.MaxConns / n
	}
	return f.floor(string(u.ID), u.MaxConns)
}

func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
