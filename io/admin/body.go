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

// duration is a duration in text form, such as 80ms.
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (p duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(p).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*p = duration(d)
	return err
}

// credentialHash is the SHA-256 hash of a credential, in hexadecimal text form.
type credentialHash [sha256.Size]byte

// MarshalText implements encoding.TextMarshaler.
func (h credentialHash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *credentialHash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(h) {
		return fmt.Errorf("credential must be a SHA-256 hash of %d hexadecimal digits", 2*len(h))
	}
	copy(h[:], raw)
	return nil
}

// adminState is an administrative state in text form.
type adminState model.AdminState

// MarshalText implements encoding.TextMarshaler.
func (s adminState) MarshalText() ([]byte, error) {
	return []byte(model.AdminState(s).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *adminState) UnmarshalText(text []byte) error {
	for _, known := range []model.AdminState{model.StateActive, model.StateDraining} {
		if string(text) == known.String() {
			*s = adminState(known)
			return nil
		}
	}
	return fmt.Errorf("state must be active or draining, not %q", text)
}

type classBody struct {
	Name        string   `json:"name"`
	Wait        duration `json:"wait"`
	Price       int64    `json:"price"`
	Weight      float64  `json:"weight"`
	MinCoverage float64  `json:"coverage"`
}

type contractBody struct {
	Customer    string         `json:"customer"`
	Credential  credentialHash `json:"credential"`
	Indexes     []string       `json:"indexes"`
	Concurrency int            `json:"concurrency"`
	Capacity    float64        `json:"capacity"`
	RetryBudget float64        `json:"extra"`
	Retention   duration       `json:"retention"`
	Classes     []classBody    `json:"classes"`
	Retired     bool           `json:"retired"`
	Revision    uint64         `json:"revision"`

	Keys  []credentialHash `json:"keys,omitempty"`
	Rate  float64          `json:"rate,omitempty"`
	Burst float64          `json:"burst,omitempty"`
}

// contractFrom returns the JSON body of a contract.
func contractFrom(c model.Contract) contractBody {
	b := contractBody{
		Customer: c.Customer, Credential: c.Credential, Indexes: c.Indexes, Concurrency: c.Concurrency, Capacity: c.Capacity,
		RetryBudget: c.RetryBudget, Retention: duration(c.Retention), Retired: c.Retired, Revision: uint64(c.Revision),
		Rate: c.Limit.Rate, Burst: c.Limit.Burst,
	}
	for _, key := range c.Keys {
		b.Keys = append(b.Keys, credentialHash(key))
	}
	for _, class := range c.Classes {
		b.Classes = append(b.Classes, classBody{
			Name: class.Name, Wait: duration(class.Wait), Price: class.Price, Weight: class.Weight, MinCoverage: class.MinCoverage,
		})
	}
	return b
}

func (b contractBody) id() string { return b.Customer }

func (b contractBody) model() model.Contract {
	c := model.Contract{
		Customer: b.Customer, Credential: b.Credential, Indexes: b.Indexes, Concurrency: b.Concurrency, Capacity: b.Capacity,
		RetryBudget: b.RetryBudget, Retention: time.Duration(b.Retention), Retired: b.Retired, Revision: model.Revision(b.Revision),
		Limit: model.RateLimit{Rate: b.Rate, Burst: b.Burst},
	}
	for _, key := range b.Keys {
		c.Keys = append(c.Keys, model.KeyHash(key))
	}
	for _, class := range b.Classes {
		c.Classes = append(c.Classes, model.Class{
			Name: class.Name, Wait: time.Duration(class.Wait), Price: class.Price, Weight: class.Weight, MinCoverage: class.MinCoverage,
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
	MaxConns int            `json:"conns"`
	DialCost duration       `json:"dial"`
	State    adminState     `json:"state"`
	Revision uint64         `json:"revision"`
}

// upstreamFrom returns the JSON body of an upstream.
func upstreamFrom(u model.Upstream) upstreamBody {
	return upstreamBody{
		ID: string(u.ID), Addr: u.Addr, Zone: string(u.Zone), Index: u.Index, Slots: u.Slots, MaxConns: u.MaxConns,
		DialCost: duration(u.DialCost), State: adminState(u.State), Revision: uint64(u.Revision),
	}
}

func (b upstreamBody) id() string { return b.ID }

func (b upstreamBody) model() model.Upstream {
	return model.Upstream{
		ID: model.UpstreamID(b.ID), Addr: b.Addr, Zone: model.Zone(b.Zone), Index: b.Index, Slots: b.Slots, MaxConns: b.MaxConns,
		DialCost: time.Duration(b.DialCost), State: model.AdminState(b.State), Revision: model.Revision(b.Revision),
	}
}

type vmBody struct {
	ID       string         `json:"id"`
	Zone     string         `json:"zone"`
	PeerAddr netip.AddrPort `json:"peer"`
	HasDisk  bool           `json:"disk"`
	State    adminState     `json:"state"`
	Revision uint64         `json:"revision"`
}

// vmFrom returns the JSON body of a VM.
func vmFrom(v model.VM) vmBody {
	return vmBody{
		ID: string(v.ID), Zone: string(v.Zone), PeerAddr: v.PeerAddr, HasDisk: v.HasDisk, State: adminState(v.State),
		Revision: uint64(v.Revision),
	}
}

func (b vmBody) id() string { return b.ID }

func (b vmBody) model() model.VM {
	return model.VM{
		ID: model.VMID(b.ID), Zone: model.Zone(b.Zone), PeerAddr: b.PeerAddr, HasDisk: b.HasDisk, State: model.AdminState(b.State),
		Revision: model.Revision(b.Revision),
	}
}

// Result is the response to a change.
type Result struct {
	Operation string `json:"operation"` // id of the change
	Status    string `json:"status"`    // name of an entry.Status
	Detail    string `json:"detail,omitempty"`
	Revision  uint64 `json:"revision"` // of the object after the change, or its current one after a conflict
}

// resultFrom returns the response body for the result of an operation.
func resultFrom(op model.OpID, r entry.Result) Result {
	return Result{Operation: string(op), Status: r.Status.String(), Detail: r.Detail, Revision: uint64(r.Revision)}
}

// FleetStatus is what a VM knows about the fleet.
type FleetStatus struct {
	VM            string      `json:"vm"`
	Zone          string      `json:"zone"`
	Leader        string      `json:"leader"` // empty when unknown
	Term          uint64      `json:"term"`
	CommitIndex   uint64      `json:"commit"`   // index of the last committed log entry
	MajorityAge   duration    `json:"age"`      // since a majority of the log's replicas was last known to be reachable
	Current       bool        `json:"current"`  // the leader confirmed that the configuration is the newest
	Revision      uint64      `json:"revision"` // of the configuration
	ContractCount int         `json:"contracts"`
	UpstreamCount int         `json:"upstreams"`
	VMCount       int         `json:"vms"`
	VMStatuses    []*VMStatus `json:"heard"`
}

// VMStatus is what a VM knows about another VM.
type VMStatus struct {
	VM           string   `json:"vm"`
	Revision     uint64   `json:"revision"` // of its configuration
	HeartbeatAge duration `json:"age"`      // since its last heartbeat
	Suspected    bool     `json:"suspect"`  // the liveness checks found no sign of life
}

// statusFrom returns the response body for a status.
func statusFrom(s *effect.FleetStatus) FleetStatus {
	b := FleetStatus{
		VM: string(s.VM), Zone: string(s.Zone), Leader: string(s.Leader), Term: s.Term, CommitIndex: s.CommitIndex,
		MajorityAge: duration(s.MajorityAge), Current: s.Current, Revision: uint64(s.Topology.Revision), ContractCount: len(s.Topology.Contracts),
		UpstreamCount: len(s.Topology.Upstreams), VMCount: len(s.Topology.VMs), VMStatuses: []*VMStatus{},
	}
	for _, v := range s.VMs {
		b.VMStatuses = append(b.VMStatuses, &VMStatus{
			VM: string(v.VM), Revision: uint64(v.Revision), HeartbeatAge: duration(v.HeartbeatAge), Suspected: v.Suspected,
		})
	}
	return b
}

// Note is a decision of the control state and its cause.
type Note struct {
	At      time.Time `json:"at"`
	Subject string    `json:"subject"` // what it is about, such as "upstream u3"
	Action  string    `json:"action"`
	Cause   string    `json:"cause"`
	Alert   bool      `json:"alert"` // an operator should take action
}
