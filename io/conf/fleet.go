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

// Upper bounds of upstream settings.
const (
	maxSlots    = 10_000
	maxConns    = 100_000
	maxDialCost = 10 * time.Second
)

// ReadFleet reads the first configuration of a fleet: its VMs, upstreams and
// contracts. An invalid file gives a *FileError.
func ReadFleet(file string) (t *model.Topology, err error) {
	f, err := readINI(file)
	if err != nil {
		return nil, err
	}
	return f.fleet()
}

// ReadContracts reads a file that contains only contract and class sections. An
// invalid file gives a *FileError.
func ReadContracts(file string) (contracts []model.Contract, err error) {
	f, err := readINI(file)
	if err != nil {
		return nil, err
	}
	return f.contracts()
}

// contracts returns the contracts in the order of the file.
func (f *iniFile) contracts() (contracts []model.Contract, err error) {
	t, err := f.fleet()
	if err != nil {
		return nil, err
	}
	for _, section := range f.sections() {
		kind, name, _ := strings.Cut(section, " ")
		switch kind {
		case "contract":
			contracts = append(contracts, t.Contracts[strings.TrimSpace(name)])
		case "class":
		default:
			return nil, f.errorAt(section, "", "is not a contract or class")
		}
	}
	return contracts, nil
}

// ParseFleet is like ReadFleet, but parses raw. The name of the file only appears in
// errors.
func ParseFleet(file string, raw []byte) (t *model.Topology, err error) {
	f, err := parseINI(file, raw)
	if err != nil {
		return nil, err
	}
	return f.fleet()
}

// fleet returns the configuration that the file describes.
func (f *iniFile) fleet() (t *model.Topology, err error) {
	t = &model.Topology{
		Contracts: make(map[string]model.Contract),
		Upstreams: make(map[model.UpstreamID]model.Upstream),
		VMs:       make(map[model.VMID]model.VM),
	}
	addrs := make(map[netip.AddrPort]string) // section by address
	for _, section := range f.sections() {
		kind, name, _ := strings.Cut(section, " ")
		name = strings.TrimSpace(name)
		if name == "" && (kind == "vm" || kind == "upstream" || kind == "contract") {
			return nil, f.errorAt(section, "", "needs a name, such as [%s a]", kind)
		}
		switch kind {
		case "vm":
			vm, err := f.vm(section, name)
			if err != nil {
				return nil, err
			}
			t.VMs[vm.ID] = vm
			err = f.checkUnique(addrs, section, "peer", vm.PeerAddr)
			if err != nil {
				return nil, err
			}
		case "upstream":
			u, err := f.upstream(section, name)
			if err != nil {
				return nil, err
			}
			t.Upstreams[u.ID] = u
			err = f.checkUnique(addrs, section, "addr", u.Addr)
			if err != nil {
				return nil, err
			}
		case "contract":
			c, err := f.contract(section, name)
			if err != nil {
				return nil, err
			}
			t.Contracts[c.Customer] = c
		case "class":
		default:
			return nil, f.errorAt(section, "", "is not a known section")
		}
	}
	return t, f.checkClasses(t)
}

// checkClasses fails for classes of contracts that do not exist.
func (f *iniFile) checkClasses(t *model.Topology) error {
	for _, section := range f.sections() {
		words := strings.Fields(section)
		if words[0] != "class" {
			continue
		}
		if len(words) != 3 {
			return f.errorAt(section, "", "needs a customer and a name, such as [class tabadul now]")
		}
		if _, ok := t.Contracts[words[1]]; !ok {
			return f.errorAt(section, "", "belongs to no contract of the file")
		}
	}
	return nil
}

// checkUnique adds an address to addrs. It fails when another section has the same
// address.
func (f *iniFile) checkUnique(addrs map[netip.AddrPort]string, section, key string, addr netip.AddrPort) error {
	if other, ok := addrs[addr]; ok {
		return f.errorAt(section, key, "%v is the address of [%s] too", addr, other)
	}
	addrs[addr] = section
	return nil
}

func (f *iniFile) vm(section, name string) (vm model.VM, err error) {
	var zone string
	vm.ID = model.VMID(name)
	err = f.readSection(section, []setting{
		{key: "zone", required: true, parse: parseText(&zone)},
		{key: "peer", required: true, parse: parseAddr(&vm.PeerAddr)},
		{key: "disk", parse: parseBool(&vm.HasDisk)},
		{key: "state", parse: parseState(&vm.State)},
	})
	vm.Zone = model.Zone(zone)
	return vm, err
}

func (f *iniFile) upstream(section, name string) (u model.Upstream, err error) {
	var zone string
	u.ID = model.UpstreamID(name)
	err = f.readSection(section, []setting{
		{key: "zone", required: true, parse: parseText(&zone)},
		{key: "addr", required: true, parse: parseAddr(&u.Addr)},
		{key: "index", required: true, parse: parseText(&u.Index)},
		{key: "slots", required: true, parse: parseInt(&u.Slots, 1, maxSlots)},
		{key: "conns", required: true, parse: parseInt(&u.MaxConns, 1, maxConns)},
		{key: "dial", parse: parseDuration(&u.DialCost, 0, maxDialCost)},
		{key: "state", parse: parseState(&u.State)},
	})
	u.Zone = model.Zone(zone)
	return u, err
}

func (f *iniFile) contract(section, name string) (c model.Contract, err error) {
	c.Customer = name
	err = f.readSection(section, []setting{
		{key: "credential", required: true, parse: parseHash(&c.Credential)},
		{key: "indexes", required: true, parse: parseList(&c.Indexes)},
		{key: "concurrency", required: true, parse: parseInt(&c.Concurrency, 1, 1<<30)},
		{key: "capacity", required: true, parse: parseFraction(&c.Capacity)},
		{key: "extra", required: true, parse: parseFraction(&c.RetryBudget)},
		{key: "retention", required: true, parse: parseDuration(&c.Retention, time.Second, model.MaxRetention)},
		{key: "retired", parse: parseBool(&c.Retired)},
		{key: "keys", parse: parseHashes(&c.Keys)},
		{key: "rate", parse: parsePositive(&c.Limit.Rate)},
		{key: "burst", parse: parsePositive(&c.Limit.Burst)},
	})
	if err != nil {
		return c, err
	}
	for _, other := range f.sections() {
		words := strings.Fields(other)
		if len(words) != 3 || words[0] != "class" || words[1] != name {
			continue
		}
		class, err := f.class(other, words[2])
		if err != nil {
			return c, err
		}
		c.Classes = append(c.Classes, class)
	}
	slices.SortStableFunc(c.Classes, func(a, b model.Class) int { return cmp.Compare(a.Wait, b.Wait) })
	if err := c.Validate(); err != nil {
		return c, f.errorAt(section, "", "%s", err.Error())
	}
	return c, nil
}

func (f *iniFile) class(section, name string) (class model.Class, err error) {
	price := 0
	class.Name = name
	class.Weight = 1
	err = f.readSection(section, []setting{
		{key: "wait", required: true, parse: parseDuration(&class.Wait, time.Millisecond, model.MaxClassWait)},
		{key: "price", required: true, parse: parseInt(&price, 0, 1<<30)},
		{key: "weight", parse: parsePositive(&class.Weight)},
		{key: "coverage", required: true, parse: parseFraction(&class.MinCoverage)},
	})
	class.Price = int64(price)
	return class, err
}

// parseHashes parses hexadecimal SHA-256 hashes of secrets, separated by commas.
func parseHashes(to *[]model.KeyHash) func(string) error {
	return func(text string) error {
		var list []string
		if err := parseList(&list)(text); err != nil {
			return err
		}
		for _, part := range list {
			var hash model.KeyHash
			if err := parseHash((*[sha256.Size]byte)(&hash))(part); err != nil {
				return err
			}
			*to = append(*to, hash)
		}
		return nil
	}
}

// parseHash parses the hexadecimal SHA-256 hash of a secret.
func parseHash(to *[sha256.Size]byte) func(string) error {
	return func(text string) error {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			return fmt.Errorf("must be a SHA-256 hash of %d hexadecimal digits", 2*sha256.Size)
		}
		copy(to[:], raw)
		return nil
	}
}
