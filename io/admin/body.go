package admin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// period is a duration in its text form.
type period time.Duration

// MarshalText implements encoding.TextMarshaler.
func (p period) MarshalText() ([]byte, error) {
	return []byte(time.Duration(p).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *period) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*p = period(d)
	return err
}

// hash is a SHA-256 hash in hexadecimal.
type hash [sha256.Size]byte

// MarshalText implements encoding.TextMarshaler.
func (h hash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *hash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(h) {
		return fmt.Errorf("credential must be a SHA-256 hash of %d hexadecimal digits", 2*len(h))
	}
	copy(h[:], raw)
	return nil
}

// state is the administrative state in its text form.
type state model.AdminState

// MarshalText implements encoding.TextMarshaler.
func (s state) MarshalText() ([]byte, error) {
	return []byte(model.AdminState(s).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *state) UnmarshalText(text []byte) error {
	for _, known := range []model.AdminState{model.StateActive, model.StateDraining} {
		if string(text) == known.String() {
			*s = state(known)
			return nil
		}
	}
	return fmt.Errorf("state must be active or draining, not %q", text)
}

type classBody struct {
	Name     string  `json:"name"`
	Wait     period  `json:"wait"`
	Price    int64   `json:"price"`
	Weight   float64 `json:"weight"`
	Coverage float64 `json:"coverage"`
}

type contractBody struct {
	Customer    string      `json:"customer"`
	Credential  hash        `json:"credential"`
	Indexes     []string    `json:"indexes"`
	Concurrency int         `json:"concurrency"`
	Capacity    float64     `json:"capacity"`
	Extra       float64     `json:"extra"`
	Retention   period      `json:"retention"`
	Classes     []classBody `json:"classes"`
	Retired     bool        `json:"retired"`
	Revision    uint64      `json:"revision"`
}

func contractFrom(c model.Contract) contractBody {
	b := contractBody{
		Customer: c.Customer, Credential: c.Credential, Indexes: c.Indexes, Concurrency: c.Concurrency, Capacity: c.Capacity,
		Extra: c.RetryBudget, Retention: period(c.Retention), Retired: c.Retired, Revision: uint64(c.Revision),
	}
	for _, class := range c.Classes {
		b.Classes = append(b.Classes, classBody{
			Name: class.Name, Wait: period(class.Wait), Price: class.Price, Weight: class.Weight, Coverage: class.MinCoverage,
		})
	}
	return b
}

func (b contractBody) id() string { return b.Customer }

func (b contractBody) model() model.Contract {
	c := model.Contract{
		Customer: b.Customer, Credential: b.Credential, Indexes: b.Indexes, Concurrency: b.Concurrency, Capacity: b.Capacity,
		RetryBudget: b.Extra, Retention: time.Duration(b.Retention), Retired: b.Retired, Revision: model.Revision(b.Revision),
	}
	for _, class := range b.Classes {
		c.Classes = append(c.Classes, model.Class{
			Name: class.Name, Wait: time.Duration(class.Wait), Price: class.Price, Weight: class.Weight, MinCoverage: class.Coverage,
		})
	}
	return c
}

type upstreamBody struct {
	ID       string         `json:"id"`
	Addr     netip.AddrPort `json:"addr"`
	Zone     string         `json:"zone"`
	Index    string         `json:"index"`
	Slots    int            `json:"slots"`
	Conns    int            `json:"conns"`
	Dial     period         `json:"dial"`
	State    state          `json:"state"`
	Revision uint64         `json:"revision"`
}

func upstreamFrom(u model.Upstream) upstreamBody {
	return upstreamBody{
		ID: string(u.ID), Addr: u.Addr, Zone: string(u.Zone), Index: u.Index, Slots: u.Slots, Conns: u.MaxConns,
		Dial: period(u.DialCost), State: state(u.State), Revision: uint64(u.Revision),
	}
}

func (b upstreamBody) id() string { return b.ID }

func (b upstreamBody) model() model.Upstream {
	return model.Upstream{
		ID: model.UpstreamID(b.ID), Addr: b.Addr, Zone: model.Zone(b.Zone), Index: b.Index, Slots: b.Slots, MaxConns: b.Conns,
		DialCost: time.Duration(b.Dial), State: model.AdminState(b.State), Revision: model.Revision(b.Revision),
	}
}

type vmBody struct {
	ID       string         `json:"id"`
	Zone     string         `json:"zone"`
	Peer     netip.AddrPort `json:"peer"`
	Disk     bool           `json:"disk"`
	State    state          `json:"state"`
	Revision uint64         `json:"revision"`
}

func vmFrom(v model.VM) vmBody {
	return vmBody{
		ID: string(v.ID), Zone: string(v.Zone), Peer: v.PeerAddr, Disk: v.HasDisk, State: state(v.State), Revision: uint64(v.Revision),
	}
}

func (b vmBody) id() string { return b.ID }

func (b vmBody) model() model.VM {
	return model.VM{
		ID: model.VMID(b.ID), Zone: model.Zone(b.Zone), PeerAddr: b.Peer, HasDisk: b.Disk, State: model.AdminState(b.State),
		Revision: model.Revision(b.Revision),
	}
}

// Result is the answer of a change.
type Result struct {
	Operation string `json:"operation"`
	Status    string `json:"status"` // of entry.Status
	Detail    string `json:"detail,omitempty"`
	Revision  uint64 `json:"revision"` // of the object, the current one after a conflict
}

func resultFrom(op model.OpID, r entry.Result) Result {
	return Result{Operation: string(op), Status: r.Status.String(), Detail: r.Detail, Revision: uint64(r.Revision)}
}

// Status is what a VM knows of the fleet.
type Status struct {
	VM        string   `json:"vm"`
	Zone      string   `json:"zone"`
	Leader    string   `json:"leader"`
	Term      uint64   `json:"term"`
	Commit    uint64   `json:"commit"`
	Age       period   `json:"age"`     // since a majority was last heard of
	Current   bool     `json:"current"` // the leader confirmed that the revision is the newest
	Revision  uint64   `json:"revision"`
	Contracts int      `json:"contracts"`
	Upstreams int      `json:"upstreams"`
	VMs       int      `json:"vms"`
	Heard     []*Heard `json:"heard"`
}

// Heard is what a VM heard of another one.
type Heard struct {
	VM       string `json:"vm"`
	Revision uint64 `json:"revision"`
	Age      period `json:"age"`
	Suspect  bool   `json:"suspect"`
}

func statusFrom(s *effect.FleetStatus) Status {
	b := Status{
		VM: string(s.VM), Zone: string(s.Zone), Leader: string(s.Leader), Term: s.Term, Commit: s.Commit, Age: period(s.MajorityAge),
		Current: s.Current, Revision: uint64(s.Topology.Revision), Contracts: len(s.Topology.Contracts),
		Upstreams: len(s.Topology.Upstreams), VMs: len(s.Topology.VMs), Heard: []*Heard{},
	}
	for _, h := range s.VMs {
		b.Heard = append(b.Heard, &Heard{VM: string(h.VM), Revision: uint64(h.Revision), Age: period(h.HeartbeatAge), Suspect: h.Suspected})
	}
	return b
}

// Note is one decision and its cause.
type Note struct {
	At      time.Time `json:"at"`
	Subject string    `json:"subject"`
	Action  string    `json:"action"`
	Cause   string    `json:"cause"`
	Alert   bool      `json:"alert"`
}
