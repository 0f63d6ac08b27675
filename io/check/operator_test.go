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

// tryTimeout is how long an operator waits for one VM before the next is asked.
// It only bounds how long a test takes.
const tryTimeout = 5 * time.Second

func (v *vm) client() *admin.Client { return &admin.Client{Addr: v.admin, TLS: v.keys} }

// contractOf is a contract for nobody's requests.
func contractOf(customer string, concurrency int) model.Contract {
	return model.Contract{
		Customer: customer, Credential: [32]byte{1}, Indexes: []string{index}, Concurrency: concurrency, Capacity: 1,
		RetryBudget: 0.1, Retention: time.Hour, Classes: []model.Class{{Name: "c", Wait: time.Second, Price: 1, Weight: 1}},
	}
}

// operator creates one contract after the other, each by one operation that it
// sends through VM after VM until it is accepted.
type operator struct {
	world    *world
	name     string
	vms      []*vm
	accepted []string // customers
	revision model.Revision
	last     time.Time // when the last change was accepted
	stop     chan struct{}
	ended    chan struct{}
	mu       sync.Mutex
	err      error
}

func (w *world) operate(name string, vms ...*vm) *operator {
	o := &operator{world: w, name: name, vms: vms, stop: make(chan struct{}), ended: make(chan struct{})}
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

// create has one contract accepted. A refusal other than for lack of a majority
// is an error.
func (o *operator) create(n int) error {
	customer := fmt.Sprintf("%s%d", o.name, n)
	for try, deadline := n, time.Now().Add(maxWait); time.Now().Before(deadline); try++ {
		ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
		r, err := o.vms[try%len(o.vms)].client().PutContract(ctx, admin.ChangeHeaders{Operation: customer}, contractOf(customer, 10))
		cancel()
		var refused *admin.ResultError
		switch {
		case err == nil:
			o.mu.Lock()
			o.accepted = append(o.accepted, customer)
			o.revision, o.last = max(o.revision, model.Revision(r.Revision)), time.Now()
			o.mu.Unlock()
			return nil
		case errors.As(err, &refused) && (refused.StatusCode == http.StatusConflict || refused.StatusCode == http.StatusBadRequest):
			return fmt.Errorf("contract %s: %w", customer, err)
		}
		<-time.After(5 * time.Millisecond)
	}
	return fmt.Errorf("contract %s was not accepted within %v", customer, maxWait)
}

func (o *operator) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.accepted)
}

// more waits until the operator has had further changes accepted.
func (o *operator) more(t *testing.T, n int) {
	t.Helper()
	want := o.count() + n
	eventually(t, fmt.Sprintf("%d changes accepted", want), func() bool {
		select {
		case <-o.ended:
			return true
		default:
			return o.count() >= want
		}
	})
	if o.count() < want {
		t.Fatal(o.err)
	}
}

// finish ends the operator; its fields may be read after.
func (o *operator) finish(t *testing.T) {
	t.Helper()
	close(o.stop)
	<-o.ended
	if o.err != nil {
		t.Fatal(o.err)
	}
}

// status returns what a VM answers, false when it does not.
func (w *world) status(v *vm) (admin.FleetStatus, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	s, err := v.client().FleetStatus(ctx, false)
	return s, err == nil
}

// leader waits until a VM says that it leads itself.
func (w *world) leader() *vm {
	w.t.Helper()
	var leader *vm
	eventually(w.t, "a VM leads", func() bool {
		for _, v := range w.vms {
			if v.over() {
				continue
			}
			if s, ok := w.status(v); ok && s.Leader == v.id {
				leader = v
				return true
			}
		}
		return false
	})
	return leader
}

// inForce waits until the VMs have a revision in force.
func (w *world) inForce(revision model.Revision, vms ...*vm) {
	w.t.Helper()
	for _, v := range vms {
		eventually(w.t, fmt.Sprintf("revision %d in force on %s", revision, v.id), func() bool {
			s, ok := w.status(v)
			return ok && s.Revision >= uint64(revision)
		})
	}
}

// expectContracts waits until the VMs have a revision in force and checks that
// they know every accepted contract.
func (w *world) expectContracts(o *operator, vms ...*vm) {
	w.t.Helper()
	w.inForce(o.revision, vms...)
	for _, v := range vms {
		contracts, err := v.client().Contracts(w.t.Context())
		if err != nil {
			w.t.Fatal(err)
		}
		for _, customer := range o.accepted {
			if !slices.ContainsFunc(contracts, func(c model.Contract) bool { return c.Customer == customer }) {
				w.t.Errorf("%s has lost contract %s, which was accepted", v.id, customer)
			}
		}
	}
}

// watch polls the revision of every VM while it serves, and notes when it falls.
type watch struct {
	world *world
	stop  chan struct{}
	wg    sync.WaitGroup
	mu    sync.Mutex
	falls []string
	seen  map[string][]sight
}

// sight is the first answer of a VM with a revision.
type sight struct {
	at       time.Time
	revision uint64
}

func (w *world) watch() *watch {
	p := &watch{world: w, stop: make(chan struct{}), seen: make(map[string][]sight)}
	for _, v := range w.vms {
		p.wg.Go(func() { p.run(v) })
	}
	return p
}

func (p *watch) run(v *vm) {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		starts := v.starts.Load()
		if code, _, err := p.world.get(v.caller, "/ready"); err != nil || code != http.StatusOK {
			continue
		}
		// An answer of a process that started meanwhile may be from before it serves.
		if s, ok := p.world.status(v); ok && v.starts.Load() == starts {
			p.note(v.id, s.Revision)
		}
	}
}

func (p *watch) note(id string, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := p.seen[id]
	last := uint64(0)
	if len(seen) > 0 {
		last = seen[len(seen)-1].revision
	}
	if revision < last {
		p.falls = append(p.falls, fmt.Sprintf("%s: %d after %d", id, revision, last))
	}
	if revision > last {
		p.seen[id] = append(seen, sight{at: time.Now(), revision: revision})
	}
}

// end stops polling and fails the test when a revision fell.
func (p *watch) end() {
	p.world.t.Helper()
	close(p.stop)
	p.wg.Wait()
	if len(p.falls) > 0 {
		p.world.t.Errorf("revisions fell: %q", p.falls)
	}
}
