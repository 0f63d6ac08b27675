package conf

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"comfreypulley/core/model"
)

// Bounds of upstream settings.
const (
	maxSlots = 10_000
	maxConns = 100_000
	maxDial  = 10 * time.Second
)

// ReadFleet reads the first configuration of a fleet: its VMs, upstreams and
// contracts. Errors are *FileError.
func ReadFleet(file string) (t *model.Topology, err error) {
	d, err := readDocument(file)
	if err != nil {
		return nil, err
	}
	return d.fleet()
}

// ReadContracts reads a file with contract and class sections only. Errors are
// *FileError.
func ReadContracts(file string) (contracts []model.Contract, err error) {
	d, err := readDocument(file)
	if err != nil {
		return nil, err
	}
	return d.contracts()
}

func (d *document) contracts() (contracts []model.Contract, err error) {
	t, err := d.fleet()
	if err != nil {
		return nil, err
	}
	for _, section := range d.sections() {
		kind, name, _ := strings.Cut(section, " ")
		switch kind {
		case "contract":
			contracts = append(contracts, t.Contracts[strings.TrimSpace(name)])
		case "class":
		default:
			return nil, d.problem(section, "", "is not a contract or class")
		}
	}
	return contracts, nil
}

// ParseFleet reads a fleet from memory.
func ParseFleet(file string, raw []byte) (t *model.Topology, err error) {
	d, err := parseDocument(file, raw)
	if err != nil {
		return nil, err
	}
	return d.fleet()
}

func (d *document) fleet() (t *model.Topology, err error) {
	t = &model.Topology{
		Contracts: make(map[string]model.Contract),
		Upstreams: make(map[model.UpstreamID]model.Upstream),
		VMs:       make(map[model.VMID]model.VM),
	}
	used := make(map[netip.AddrPort]string)
	for _, section := range d.sections() {
		kind, name, _ := strings.Cut(section, " ")
		name = strings.TrimSpace(name)
		if name == "" && (kind == "vm" || kind == "upstream" || kind == "contract") {
			return nil, d.problem(section, "", "needs a name, such as [%s a]", kind)
		}
		switch kind {
		case "vm":
			vm, err := d.vm(section, name)
			if err != nil {
				return nil, err
			}
			t.VMs[vm.ID] = vm
			err = d.unique(used, section, "peer", vm.PeerAddr)
			if err != nil {
				return nil, err
			}
		case "upstream":
			u, err := d.upstream(section, name)
			if err != nil {
				return nil, err
			}
			t.Upstreams[u.ID] = u
			err = d.unique(used, section, "addr", u.Addr)
			if err != nil {
				return nil, err
			}
		case "contract":
			c, err := d.contract(section, name)
			if err != nil {
				return nil, err
			}
			t.Contracts[c.Customer] = c
		case "class":
		default:
			return nil, d.problem(section, "", "is not a known section")
		}
	}
	return t, d.orphans(t)
}

// orphans reports classes of contracts that do not exist.
func (d *document) orphans(t *model.Topology) error {
	for _, section := range d.sections() {
		words := strings.Fields(section)
		if words[0] != "class" {
			continue
		}
		if len(words) != 3 {
			return d.problem(section, "", "needs a customer and a name, such as [class tabadul now]")
		}
		if _, ok := t.Contracts[words[1]]; !ok {
			return d.problem(section, "", "belongs to no contract of the file")
		}
	}
	return nil
}

func (d *document) unique(used map[netip.AddrPort]string, section, key string, addr netip.AddrPort) error {
	if other, ok := used[addr]; ok {
		return d.problem(section, key, "%v is the address of [%s] too", addr, other)
	}
	used[addr] = section
	return nil
}

func (d *document) vm(section, name string) (vm model.VM, err error) {
	var zone string
	vm.ID = model.VMID(name)
	err = d.read(section, []field{
		{key: "zone", required: true, set: textValue(&zone)},
		{key: "peer", required: true, set: addrValue(&vm.PeerAddr)},
		{key: "disk", set: boolValue(&vm.HasDisk)},
		{key: "state", set: stateValue(&vm.State)},
	})
	vm.Zone = model.Zone(zone)
	return vm, err
}

func (d *document) upstream(section, name string) (u model.Upstream, err error) {
	var zone string
	u.ID = model.UpstreamID(name)
	err = d.read(section, []field{
		{key: "zone", required: true, set: textValue(&zone)},
		{key: "addr", required: true, set: addrValue(&u.Addr)},
		{key: "index", required: true, set: textValue(&u.Index)},
		{key: "slots", required: true, set: intValue(&u.Slots, 1, maxSlots)},
		{key: "conns", required: true, set: intValue(&u.MaxConns, 1, maxConns)},
		{key: "dial", set: durationValue(&u.DialCost, 0, maxDial)},
		{key: "state", set: stateValue(&u.State)},
	})
	u.Zone = model.Zone(zone)
	return u, err
}

func (d *document) contract(section, name string) (c model.Contract, err error) {
	c.Customer = name
	err = d.read(section, []field{
		{key: "credential", required: true, set: hashValue(&c.Credential)},
		{key: "indexes", required: true, set: listValue(&c.Indexes)},
		{key: "concurrency", required: true, set: intValue(&c.Concurrency, 1, 1<<30)},
		{key: "capacity", required: true, set: shareValue(&c.Capacity)},
		{key: "extra", required: true, set: shareValue(&c.RetryBudget)},
		{key: "retention", required: true, set: durationValue(&c.Retention, time.Second, model.MaxRetention)},
		{key: "retired", set: boolValue(&c.Retired)},
	})
	if err != nil {
		return c, err
	}
	for _, other := range d.sections() {
		words := strings.Fields(other)
		if len(words) != 3 || words[0] != "class" || words[1] != name {
			continue
		}
		class, err := d.class(other, words[2])
		if err != nil {
			return c, err
		}
		c.Classes = append(c.Classes, class)
	}
	slices.SortStableFunc(c.Classes, func(a, b model.Class) int { return cmp.Compare(a.Wait, b.Wait) })
	if err := c.Validate(); err != nil {
		return c, d.problem(section, "", "%s", err.Error())
	}
	return c, nil
}

func (d *document) class(section, name string) (class model.Class, err error) {
	price := 0
	class.Name = name
	class.Weight = 1
	err = d.read(section, []field{
		{key: "wait", required: true, set: durationValue(&class.Wait, time.Millisecond, model.MaxClassWait)},
		{key: "price", required: true, set: intValue(&price, 0, 1<<30)},
		{key: "weight", set: positiveValue(&class.Weight)},
		{key: "coverage", required: true, set: shareValue(&class.MinCoverage)},
	})
	class.Price = int64(price)
	return class, err
}

// hashValue reads the SHA-256 hash of a secret in hexadecimal.
func hashValue(to *[sha256.Size]byte) func(string) error {
	return func(text string) error {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			return fmt.Errorf("must be a SHA-256 hash of %d hexadecimal digits", 2*sha256.Size)
		}
		copy(to[:], raw)
		return nil
	}
}
