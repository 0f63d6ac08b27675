package lease

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"comfreypulley/core/model"
)

// Times of leases and floors.
const (
	length      = 3 * time.Second // of a lease
	uncertainty = time.Second     // of the leader: clock rates, and the time in which a replaced leader steps down
	raiseAfter  = 6 * time.Second // in which a configuration is in force everywhere
)

// fleet is what the floors of one configuration depend on.
type fleet struct {
	vms      []model.VMID // ascending
	position int          // of the own VM, -1 when it is not registered
	leased   bool         // a disk VM exists, so that the other half can be leased
}

func newFleet(self model.VMID, t *model.Topology) fleet {
	f := fleet{vms: slices.Sorted(maps.Keys(t.VMs))}
	f.position = slices.Index(f.vms, self)
	for _, vm := range t.VMs {
		f.leased = f.leased || vm.HasDisk
	}
	return f
}

// fixed is the part of a limit that is divided into floors.
func (f *fleet) fixed(limit int) int {
	if f.leased {
		return limit / 2
	}
	return limit
}

// floor is the own VM's part of a total. The remainder goes to consecutive
// positions from one that depends on the name, one each, so that exactly the
// total is divided and small limits do not all go to the same VMs.
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

// conns is the own VM's part of an upstream's connections. Evenness counts more
// than the last connections, unless there are fewer than VMs.
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
