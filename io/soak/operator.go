package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"comfreypulley/core/soak"
)

// How operators behave.
const (
	orderTimeout = time.Second            // for one try
	orderRetry   = 200 * time.Millisecond // between two tries, growing
	readEvery    = 250 * time.Millisecond
	maxDocument  = 1 << 20 // bytes
)

// client is used by operators. Each call has a connection of its own, so that a
// dead one does not hide what a VM answers.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// operator sends one document until it gets a clear answer.
type operator struct {
	soak   *Soak
	number int
	bytes  []byte
	random *rand.Rand
}

// send starts the operator of an order.
func (s *Soak) send(e soak.SubmitDocument) error {
	raw, err := s.Rig.Document(e.Document)
	if err != nil {
		return err
	}
	s.newest.Store(int64(e.NewestChange + 1))
	s.mu.Lock()
	if _, again := s.orders[hash(raw)]; !again {
		s.orders[hash(raw)] = e.Number
	}
	s.mu.Unlock()
	s.traffic.Add(1)
	go (&operator{soak: s, number: e.Number, bytes: raw, random: rand.New(rand.NewPCG(s.Seed, uint64(e.Number)))}).run()
	return nil
}

func (o *operator) run() {
	defer o.soak.traffic.Done()
	for retry := orderRetry; o.soak.ctx.Err() == nil; retry += orderRetry / 2 {
		status := o.try(o.soak.vms[o.random.IntN(controls)])
		if status == http.StatusOK || status >= 400 && status < 500 {
			o.soak.post(soak.SubmissionResult{Submission: o.number, Status: status})
			return
		}
		select {
		case <-o.soak.ctx.Done():
		case <-time.After(retry):
		}
	}
}

// try returns the status of a call, 0 without an answer.
func (o *operator) try(v *vm) int {
	ctx, cancel := context.WithTimeout(o.soak.ctx, orderTimeout)
	defer cancel()
	r, err := o.soak.Rig.Put(ctx, v.site.Control, o.bytes)
	if err != nil {
		o.soak.post(soak.HarnessFailed{Cause: err.Error()})
		return 0
	}
	response, err := client.Do(r)
	if err != nil {
		return 0 // the VM is down or silent; another one is asked
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// reader reads the document back from one VM again and again.
type reader struct {
	soak   *Soak
	vm     *vm
	random *rand.Rand
}

func (r *reader) run() {
	defer r.soak.traffic.Done()
	for r.soak.ctx.Err() == nil {
		at := time.Now()
		if raw := r.read(); raw != nil {
			r.soak.post(soak.DocumentRead{VM: r.vm.number, AskedAt: at, Submission: r.soak.order(raw)})
		}
		select {
		case <-r.soak.ctx.Done():
		case <-time.After(readEvery + time.Duration(r.random.Int64N(int64(readEvery)))):
		}
	}
}

// read returns the document, nil without an answer.
func (r *reader) read() []byte {
	ctx, cancel := context.WithTimeout(r.soak.ctx, orderTimeout)
	defer cancel()
	request, err := r.soak.Rig.Get(ctx, r.vm.site.Control)
	if err != nil {
		r.soak.post(soak.HarnessFailed{Cause: err.Error()})
		return nil
	}
	response, err := client.Do(request)
	if err != nil {
		return nil // the VM is down or silent
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxDocument))
	if err != nil || response.StatusCode != http.StatusOK {
		return nil // the operator asks again
	}
	return raw
}
