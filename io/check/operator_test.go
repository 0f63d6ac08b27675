package check

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/admin"
)

// callTimeout is how long an operator waits for a VM before it tries the next one.
// It affects only how long a test takes.
const callTimeout = 5 * time.Second

func (v *vm) client() *admin.Client { return &admin.Client{Addr: v.adminAddr, TLS: v.adminTLS} }

// newContract returns a valid contract that no caller uses.
func newContract(customer string, concurrency int) model.Contract {
	return model.Contract{
		Customer: customer, Credential: [32]byte{1}, Indexes: []string{index}, Concurrency: concurrency, Capacity: 1,
		RetryBudget: 0.1, Retention: time.Hour, Classes: []model.Class{{Name: "c", Wait: time.Second, Price: 1, Weight: 1}},
	}
}

// operator creates one contract after the other. It sends each with the same
// operation id to one VM after the other until it is accepted.
type operator struct {
	fleet        *fleet
	prefix       string // of the contracts' customers
	vms          []*vm
	accepted     []string       // customers of the accepted contracts
	revision     model.Revision // after the last accepted change
	lastAccepted time.Time      // time of the last acceptance
	stop         chan struct{}
	ended        chan struct{}
	mu           sync.Mutex // guards accepted, revision and lastAccepted until ended is closed
	err          error      // set before ended is closed
}

// startOperator starts an operator that uses the given VMs.
func (f *fleet) startOperator(prefix string, vms ...*vm) *operator {
	o := &operator{fleet: f, prefix: prefix, vms: vms, stop: make(chan struct{}), ended: make(chan struct{})}
	go o.run()
	return o
}

func (o *operator) run() {
	defer close(o.ended)
	for n := 0; ; n++ {
		select {
		case <-o.stop:
			return
		default:
		}
		if err := o.create(n); err != nil {
			o.err = err
			return
		}
	}
}

// create sends a contract until it is accepted. A refusal other than for lack of a
// majority is an error.
func (o *operator) create(n int) error {
	customer := fmt.Sprintf("%s%d", o.prefix, n)
	for try, deadline := n, time.Now().Add(maxWait); time.Now().Before(deadline); try++ {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		r, err := o.vms[try%len(o.vms)].client().PutContract(ctx, admin.ChangeHeaders{Operation: customer}, newContract(customer, 10))
		cancel()
		var refused *admin.ResultError
		switch {
		case err == nil:
			o.mu.Lock()
			o.accepted = append(o.accepted, customer)
			o.revision, o.lastAccepted = max(o.revision, model.Revision(r.Revision)), time.Now()
			o.mu.Unlock()
			return nil
		case errors.As(err, &refused) && (refused.StatusCode == http.StatusConflict || refused.StatusCode == http.StatusBadRequest):
			return fmt.Errorf("contract %s: %w", customer, err)
		}
		<-time.After(5 * time.Millisecond)
	}
	return fmt.Errorf("contract %s was not accepted within %v", customer, maxWait)
}

func (o *operator) acceptedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.accepted)
}

// waitAccepted waits until n more changes of the operator are accepted.
func (o *operator) waitAccepted(t *testing.T, n int) {
	t.Helper()
	want := o.acceptedCount() + n
	eventually(t, fmt.Sprintf("%d changes accepted", want), func() bool {
		select {
		case <-o.ended:
			return true
		default:
			return o.acceptedCount() >= want
		}
	})
	if o.acceptedCount() < want {
		t.Fatal(o.err)
	}
}

// finish stops the operator. Its fields may be read afterwards.
func (o *operator) finish(t *testing.T) {
	t.Helper()
	close(o.stop)
	<-o.ended
	if o.err != nil {
		t.Fatal(o.err)
	}
}

// status returns the status of a VM. It reports false when the VM does not answer.
func (f *fleet) status(v *vm) (admin.FleetStatus, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	s, err := v.client().FleetStatus(ctx, false)
	return s, err == nil
}

// waitLeader waits until a running VM states that it is the leader, and returns it.
func (f *fleet) waitLeader() *vm {
	f.t.Helper()
	var leader *vm
	eventually(f.t, "an election of a leader", func() bool {
		for _, v := range f.vms {
			if v.hasEnded() {
				continue
			}
			if s, ok := f.status(v); ok && s.Leader == v.id {
				leader = v
				return true
			}
		}
		return false
	})
	return leader
}

// waitInForce waits until all of the VMs use at least a revision.
func (f *fleet) waitInForce(revision model.Revision, vms ...*vm) {
	f.t.Helper()
	for _, v := range vms {
		eventually(f.t, fmt.Sprintf("revision %d in force on %s", revision, v.id), func() bool {
			s, ok := f.status(v)
			return ok && s.Revision >= uint64(revision)
		})
	}
}

// checkContracts waits until all of the VMs use the operator's last revision, and
// checks that they have every accepted contract.
func (f *fleet) checkContracts(o *operator, vms ...*vm) {
	f.t.Helper()
	f.waitInForce(o.revision, vms...)
	for _, v := range vms {
		contracts, err := v.client().Contracts(f.t.Context())
		if err != nil {
			f.t.Fatal(err)
		}
		for _, customer := range o.accepted {
			if !slices.ContainsFunc(contracts, func(c model.Contract) bool { return c.Customer == customer }) {
				f.t.Errorf("%s has lost contract %s, which was accepted", v.id, customer)
			}
		}
	}
}

// revisionWatch polls the revision of every ready VM and records when it decreases.
type revisionWatch struct {
	fleet     *fleet
	stop      chan struct{}
	wg        sync.WaitGroup
	mu        sync.Mutex
	decreases []string
	sightings map[string][]sighting // by VM
}

// sighting is the first time when a VM reported a revision.
type sighting struct {
	at       time.Time
	revision uint64
}

// watchRevisions starts a revisionWatch of all VMs.
func (f *fleet) watchRevisions() *revisionWatch {
	p := &revisionWatch{fleet: f, stop: make(chan struct{}), sightings: make(map[string][]sighting)}
	for _, v := range f.vms {
		p.wg.Go(func() { p.run(v) })
	}
	return p
}

func (p *revisionWatch) run(v *vm) {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		starts := v.starts.Load()
		if code, _, err := p.fleet.get(v.callerAddr, "/ready"); err != nil || code != http.StatusOK {
			continue
		}
		// A process that was started since the check of /ready may not be ready.
		if s, ok := p.fleet.status(v); ok && v.starts.Load() == starts {
			p.record(v.id, s.Revision)
		}
	}
}

// record stores a revision that a VM reported.
func (p *revisionWatch) record(id string, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := p.sightings[id]
	last := uint64(0)
	if len(seen) > 0 {
		last = seen[len(seen)-1].revision
	}
	if revision < last {
		p.decreases = append(p.decreases, fmt.Sprintf("%s: %d after %d", id, revision, last))
	}
	if revision > last {
		p.sightings[id] = append(seen, sighting{at: time.Now(), revision: revision})
	}
}

// finish stops polling and fails the test if a revision decreased.
func (p *revisionWatch) finish() {
	p.fleet.t.Helper()
	close(p.stop)
	p.wg.Wait()
	if len(p.decreases) > 0 {
		p.fleet.t.Errorf("revisions decreased: %q", p.decreases)
	}
}
