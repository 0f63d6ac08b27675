package config

import (
	"fmt"
	"math"
	"strings"
	"unicode"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// Upper bounds of names and lists.
const (
	maxNameBytes = 128
	maxIndexes   = 1000
)

func invalid(format string, args ...any) entry.Result {
	return entry.Result{Status: entry.StatusInvalid, Detail: fmt.Sprintf(format, args...)}
}

// check validates a change and returns it with its omitted fields filled in. The
// status is StatusOK when the change is well formed and expects the current
// revision.
func (s *Store) check(c entry.Change) (entry.Change, entry.Result) {
	kinds := 0
	for _, set := range []bool{c.Contract != nil, c.Upstream != nil, c.VM != nil, c.Remove != nil, c.InitialConfig != nil, c.Document != nil, c.Zone != nil} {
		if set {
			kinds++
		}
	}
	switch {
	case kinds != 1:
		return c, invalid("a change must hold exactly one object, not %d", kinds)
	case len(c.Op) > maxNameBytes:
		return c, invalid("operation id is longer than %d bytes", maxNameBytes)
	case c.Contract != nil:
		return s.checkContract(c)
	case c.Upstream != nil:
		return s.checkUpstream(c)
	case c.VM != nil:
		return s.checkVM(c)
	case c.Remove != nil:
		return c, s.checkRemoval(c)
	case c.Document != nil:
		return c, validateDocument(c.Document)
	case c.Zone != nil:
		return c, checkName("zone", string(c.Zone.Zone), " /[],")
	default:
		return s.checkInitialConfig(c)
	}
}

// checkRevision compares the current revision of an object, 0 when it does not
// exist, with the one that the operator saw.
func checkRevision(kind, id string, current, expected model.Revision) entry.Result {
	if current == expected {
		return entry.Result{Status: entry.StatusOK}
	}
	detail := fmt.Sprintf("%s %q is at revision %d, not %d", kind, id, current, expected)
	switch {
	case current == 0:
		detail = fmt.Sprintf("%s %q does not exist", kind, id)
	case expected == 0:
		detail = fmt.Sprintf("%s %q exists at revision %d", kind, id, current)
	}
	return entry.Result{Status: entry.StatusConflict, Revision: current, Detail: detail}
}

func (s *Store) checkContract(c entry.Change) (entry.Change, entry.Result) {
	v := *c.Contract
	current := s.contracts.rows[v.Customer]
	if r := checkName("customer", v.Customer, " /[]."); r.Status != entry.StatusOK {
		return c, r
	}
	if r := checkRevision("contract", v.Customer, current.Revision, c.ExpectedRevision); r.Status != entry.StatusOK {
		return c, r
	}
	if v.Retired && c.ExpectedRevision > 0 {
		v = current
		v.Retired = true
	}
	c.Contract = &v
	return c, validateContract(&v)
}

func validateContract(v *model.Contract) entry.Result {
	if err := v.Validate(); err != nil {
		return invalid("%v", err)
	}
	if len(v.Indexes) > maxIndexes {
		return invalid("contract %q: indexes must be at most %d, not %d", v.Customer, maxIndexes, len(v.Indexes))
	}
	for _, index := range v.Indexes {
		if r := checkName("index", index, " /[],"); r.Status != entry.StatusOK {
			return r
		}
	}
	names := make(map[string]bool, len(v.Classes))
	for _, class := range v.Classes {
		if r := checkName("class", class.Name, " /[]"); r.Status != entry.StatusOK {
			return r
		}
		if math.IsInf(class.Weight, 0) {
			return invalid("contract %q: class %s weight must be finite", v.Customer, class.Name)
		}
		if names[class.Name] {
			return invalid("contract %q: class %s appears twice", v.Customer, class.Name)
		}
		names[class.Name] = true
	}
	return entry.Result{Status: entry.StatusOK}
}

func (s *Store) checkUpstream(c entry.Change) (entry.Change, entry.Result) {
	v := *c.Upstream
	current := s.upstreams.rows[v.ID]
	if r := checkName("upstream", string(v.ID), " /[]"); r.Status != entry.StatusOK {
		return c, r
	}
	if r := checkRevision("upstream", string(v.ID), current.Revision, c.ExpectedRevision); r.Status != entry.StatusOK {
		return c, r
	}
	if v.State == model.StateDraining && !v.Addr.IsValid() && c.ExpectedRevision > 0 {
		v = current
		v.State = model.StateDraining
	}
	c.Upstream = &v
	switch {
	case !v.Addr.IsValid() || v.Addr.Port() == 0:
		return c, invalid("upstream %q: addr must be an IP address with a port", v.ID)
	case v.Zone == "":
		return c, invalid("upstream %q: zone must not be empty", v.ID)
	case v.Slots < 1:
		return c, invalid("upstream %q: slots must be at least 1, not %d", v.ID, v.Slots)
	case v.MaxConns < 1:
		return c, invalid("upstream %q: conns must be at least 1, not %d", v.ID, v.MaxConns)
	case v.DialCost < 0:
		return c, invalid("upstream %q: dial must not be negative", v.ID)
	case v.State > model.StateDraining:
		return c, invalid("upstream %q: state %d is not known", v.ID, v.State)
	}
	if other, ok := s.upstreamsByAddr[v.Addr]; ok && other != v.ID {
		return c, invalid("upstream %q: %v is the address of upstream %q", v.ID, v.Addr, other)
	}
	return c, checkName("index", v.Index, " /[],")
}

func (s *Store) checkVM(c entry.Change) (entry.Change, entry.Result) {
	v := *c.VM
	current := s.vms.rows[v.ID]
	if r := checkName("vm", string(v.ID), " /[]"); r.Status != entry.StatusOK {
		return c, r
	}
	if r := checkRevision("vm", string(v.ID), current.Revision, c.ExpectedRevision); r.Status != entry.StatusOK {
		return c, r
	}
	if v.State == model.StateDraining && !v.PeerAddr.IsValid() && c.ExpectedRevision > 0 {
		v = current
		v.State = model.StateDraining
	}
	c.VM = &v
	switch {
	case !v.PeerAddr.IsValid() || v.PeerAddr.Port() == 0:
		return c, invalid("vm %q: peer must be an IP address with a port", v.ID)
	case v.Zone == "":
		return c, invalid("vm %q: zone must not be empty", v.ID)
	case v.State > model.StateDraining:
		return c, invalid("vm %q: state %d is not known", v.ID, v.State)
	case current.HasDisk && !v.HasDisk && s.diskVMs == 1:
		return c, invalid("vm %q: is the last VM with a disk", v.ID)
	}
	if other, ok := s.vmsByAddr[v.PeerAddr]; ok && other != v.ID {
		return c, invalid("vm %q: %v is the address of vm %q", v.ID, v.PeerAddr, other)
	}
	return c, entry.Result{Status: entry.StatusOK}
}

func (s *Store) checkRemoval(c entry.Change) entry.Result {
	if (c.Remove.Upstream == "") == (c.Remove.VM == "") {
		return invalid("a removal must name exactly one upstream or vm")
	}
	if c.ExpectedRevision == 0 {
		return invalid("a removal must expect the current revision, not 0")
	}
	if c.Remove.Upstream != "" {
		return checkRevision("upstream", string(c.Remove.Upstream), s.upstreams.rows[c.Remove.Upstream].Revision, c.ExpectedRevision)
	}
	current := s.vms.rows[c.Remove.VM]
	if r := checkRevision("vm", string(c.Remove.VM), current.Revision, c.ExpectedRevision); r.Status != entry.StatusOK {
		return r
	}
	if current.HasDisk && s.diskVMs == 1 {
		return invalid("vm %q: is the last VM with a disk", c.Remove.VM)
	}
	return entry.Result{Status: entry.StatusOK}
}

// checkInitialConfig accepts a configuration only at revision 0. It does not
// validate the objects: the reader of the settings has done that. Every object
// starts at revision 1.
func (s *Store) checkInitialConfig(c entry.Change) (entry.Change, entry.Result) {
	if s.revision != 0 {
		return c, checkRevision("configuration", "genesis", s.revision, 0)
	}
	initial := entry.Config{Revision: 1}
	for _, v := range c.InitialConfig.Contracts {
		v.Revision = 1
		initial.Contracts = append(initial.Contracts, v)
	}
	for _, v := range c.InitialConfig.Upstreams {
		v.Revision = 1
		initial.Upstreams = append(initial.Upstreams, v)
	}
	for _, v := range c.InitialConfig.VMs {
		v.Revision = 1
		initial.VMs = append(initial.VMs, v)
	}
	c.InitialConfig = &initial
	return c, entry.Result{Status: entry.StatusOK}
}

func validateDocument(d *model.Document) entry.Result {
	if err := d.Validate(); err != nil {
		return invalid("%v", err)
	}
	return entry.Result{Status: entry.StatusOK}
}

// checkName rejects names that cannot be used as a section of a settings file or
// in a URL path.
func checkName(kind, name, forbidden string) entry.Result {
	switch {
	case name == "":
		return invalid("%s must have a name", kind)
	case len(name) > maxNameBytes:
		return invalid("%s name is longer than %d bytes", kind, maxNameBytes)
	case strings.ContainsAny(name, forbidden+"\"`#;=") || strings.ContainsFunc(name, unicode.IsControl):
		return invalid("%s name %q must not contain control characters or any of %q", kind, name, forbidden+"\"`#;=")
	}
	return entry.Result{Status: entry.StatusOK}
}
