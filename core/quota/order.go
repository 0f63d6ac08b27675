package quota

import (
	"cmp"
	"slices"

	"comfreypulley/core/model"
)

// order returns VMs in the order in which they are the home of a customer (rendezvous
// hashing): when a VM is added or removed, only the customers of that VM move.
func order(customer string, vms []model.VMID) []model.VMID {
	ordered := slices.Clone(vms)
	slices.SortFunc(ordered, func(a, b model.VMID) int {
		return cmp.Or(cmp.Compare(weight(customer, b), weight(customer, a)), cmp.Compare(a, b))
	})
	return ordered
}

// first returns the VM that order puts first, "" for none.
func first(customer string, vms []model.VMID) model.VMID {
	var best model.VMID
	var highest uint64
	for _, vm := range vms {
		if w := weight(customer, vm); best == "" || w > highest || w == highest && vm < best {
			best, highest = vm, w
		}
	}
	return best
}

// weight hashes a customer and a VM (FNV-1a and the finalizer of MurmurHash3).
func weight(customer string, vm model.VMID) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(customer) {
		h = (h ^ uint64(customer[i])) * prime
	}
	h *= prime // separates the two names
	for i := range len(vm) {
		h = (h ^ uint64(vm[i])) * prime
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
