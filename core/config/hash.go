package config

import (
	"crypto/sha256"
	"math"
	"net/netip"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// hasher encodes the fields of an object for hashing. Strings are prefixed with
// their length, so that different objects never have the same encoding.
type hasher []byte

func (h *hasher) number(v uint64) {
	*h = append(*h, byte(v>>56), byte(v>>48), byte(v>>40), byte(v>>32), byte(v>>24), byte(v>>16), byte(v>>8), byte(v))
}

func (h *hasher) text(v string) {
	h.number(uint64(len(v)))
	*h = append(*h, v...)
}

func (h *hasher) addr(v netip.AddrPort) {
	h.text(v.String())
}

func (h *hasher) flag(v bool) {
	if v {
		h.number(1)
		return
	}
	h.number(0)
}

// sum returns the first 64 bits of the encoding's SHA-256 hash.
func (h *hasher) sum() uint64 {
	var v uint64
	sum := sha256.Sum256(*h)
	for _, b := range sum[:8] {
		v = v<<8 | uint64(b)
	}
	return v
}

func hashNumber(v uint64) uint64 {
	var h hasher
	h.number(v)
	return h.sum()
}

func hashContract(c *model.Contract) uint64 {
	h := make(hasher, 0, 512)
	h.text("contract")
	h.contract(c)
	return h.sum()
}

func hashUpstream(u *model.Upstream) uint64 {
	h := make(hasher, 0, 256)
	h.text("upstream")
	h.upstream(u)
	return h.sum()
}

func hashVM(v *model.VM) uint64 {
	h := make(hasher, 0, 256)
	h.text("vm")
	h.vm(v)
	return h.sum()
}

func (h *hasher) contract(c *model.Contract) {
	h.text(c.Customer)
	*h = append(*h, c.Credential[:]...)
	h.number(uint64(len(c.Indexes)))
	for _, index := range c.Indexes {
		h.text(index)
	}
	h.number(uint64(c.Concurrency))
	h.number(math.Float64bits(c.Capacity))
	h.number(math.Float64bits(c.RetryBudget))
	h.number(uint64(c.Retention))
	h.number(uint64(len(c.Classes)))
	for _, class := range c.Classes {
		h.text(class.Name)
		h.number(uint64(class.Wait))
		h.number(uint64(class.Price))
		h.number(math.Float64bits(class.Weight))
		h.number(math.Float64bits(class.MinCoverage))
	}
	h.flag(c.Retired)
	h.number(uint64(c.Revision))
}

// contractLimit covers fields that VMs of earlier builds do not know. They are left out of
// the checksum of the configuration, which these VMs compute without them.
func (h *hasher) contractLimit(c *model.Contract) {
	for i := range c.Keys {
		*h = append(*h, c.Keys[i][:]...)
	}
	h.number(math.Float64bits(c.Limit.Rate))
	h.number(math.Float64bits(c.Limit.Burst))
}

func (h *hasher) upstream(u *model.Upstream) {
	h.text(string(u.ID))
	h.addr(u.Addr)
	h.text(string(u.Zone))
	h.text(u.Index)
	h.number(uint64(u.Slots))
	h.number(uint64(u.MaxConns))
	h.number(uint64(u.DialCost))
	h.number(uint64(u.State))
	h.number(uint64(u.Revision))
}

func (h *hasher) vm(v *model.VM) {
	h.text(string(v.ID))
	h.text(string(v.Zone))
	h.addr(v.PeerAddr)
	h.flag(v.HasDisk)
	h.number(uint64(v.State))
	h.number(uint64(v.Revision))
}

// hashDocument covers the fields that entry VMs use. It leaves out the source,
// which VMs without a log do not have.
func hashDocument(d *model.Document) uint64 {
	h := make(hasher, 0, 256*len(d.Routes)+64*len(d.Services)+64)
	h.text("document")
	h.number(d.Version)
	for i := range d.Routes {
		h.route(&d.Routes[i])
	}
	for _, s := range d.Services {
		h.text(s.Name)
		h.text(s.HealthPath)
		h.number(uint64(s.MaxConns))
	}
	h.number(uint64(d.Limits.MaxHeaderBytes))
	h.number(uint64(d.Limits.MaxBodyBytes))
	h.number(uint64(d.Limits.HeaderTimeout))
	h.number(uint64(d.Limits.IdleTimeout))
	return h.sum()
}

func (h *hasher) route(r *model.Route) {
	h.text(r.Name)
	h.text(r.Host)
	h.text(r.PathPrefix)
	h.flag(r.AtMostOnce)
	h.number(uint64(len(r.Targets)))
	for _, t := range r.Targets {
		h.text(t.Service)
		h.number(math.Float64bits(t.Weight))
	}
	h.number(uint64(len(r.Shards)))
	for _, s := range r.Shards {
		h.text(s)
	}
	h.number(uint64(r.MaxAttempts))
	h.number(uint64(r.Timeout))
	h.number(uint64(r.TargetLatency))
	h.number(uint64(r.Priority))
	h.number(uint64(r.TopK))
	h.number(math.Float64bits(r.MinCoverage))
}

// hashChange hashes a change as the operator sent it, to distinguish a resend
// from a different change with the same operation id.
func hashChange(c *entry.Change) uint64 {
	var h hasher
	h.number(uint64(c.ExpectedRevision))
	if c.Contract != nil {
		h.text("contract")
		h.contract(c.Contract)
		h.contractLimit(c.Contract)
	}
	if c.Upstream != nil {
		h.text("upstream")
		h.upstream(c.Upstream)
	}
	if c.VM != nil {
		h.text("vm")
		h.vm(c.VM)
	}
	if c.Document != nil {
		h.text("document")
		h.number(hashDocument(c.Document))
	}
	if c.Zone != nil {
		h.text("zone")
		h.text(string(c.Zone.Zone))
		h.flag(c.Zone.Out)
	}
	if c.Remove != nil {
		h.text("remove")
		h.text(string(c.Remove.Upstream))
		h.text(string(c.Remove.VM))
	}
	return h.sum()
}
