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
	callTimeout  = time.Second            // for one call
	submitRetry  = 200 * time.Millisecond // before the first resend; grows with each
	readInterval = 250 * time.Millisecond
	maxDocument  = 1 << 20 // bytes
)

// client is used by operators. Each call uses a new connection, so that a broken
// one does not hide what a VM answers.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// operator submits one document until it receives a definite answer.
type operator struct {
	soak       *Soak
	submission int // its number
	document   []byte
	random     *rand.Rand
}

// submit starts the operator of a submission.
func (s *Soak) submit(e soak.SubmitDocument) error {
	raw, err := s.Platform.Document(e.Document, e.Keys)
	if err != nil {
		return err
	}
	s.usableChanges.Store(int64(e.NewestChange + 1))
	s.mu.Lock()
	if _, seen := s.submissions[hash(raw)]; !seen {
		s.submissions[hash(raw)] = e.Number
	}
	s.mu.Unlock()
	s.traffic.Add(1)
	go (&operator{soak: s, submission: e.Number, document: raw, random: rand.New(rand.NewPCG(s.Seed, uint64(e.Number)))}).run()
	return nil
}

func (o *operator) run() {
	defer o.soak.traffic.Done()
	for retry := submitRetry; o.soak.ctx.Err() == nil; retry += submitRetry / 2 {
		status := o.submitTo(o.soak.vms[o.random.IntN(logVMs)])
		if status == http.StatusOK || status >= 400 && status < 500 {
			o.soak.post(soak.SubmissionResult{Submission: o.submission, Status: status})
			return
		}
		select {
		case <-o.soak.ctx.Done():
		case <-time.After(retry):
		}
	}
}

// submitTo submits the document to a VM. It returns the HTTP status, or 0 without
// an answer.
func (o *operator) submitTo(v *vm) int {
	ctx, cancel := context.WithTimeout(o.soak.ctx, callTimeout)
	defer cancel()
	r, err := o.soak.Platform.Put(ctx, v.site.OperatorAddr, o.document)
	if err != nil {
		o.soak.post(soak.HarnessFailed{Cause: err.Error()})
		return 0
	}
	response, err := client.Do(r)
	if err != nil {
		return 0 // the VM may be down or cut off; run tries another one
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// documentReader repeatedly reads the document in force from one VM.
type documentReader struct {
	soak   *Soak
	vm     *vm
	random *rand.Rand
}

func (r *documentReader) run() {
	defer r.soak.traffic.Done()
	for r.soak.ctx.Err() == nil {
		at := time.Now()
		if raw := r.read(); raw != nil {
			r.soak.post(soak.DocumentRead{VM: r.vm.number, AskedAt: at, Submission: r.soak.submissionOf(raw)})
		}
		select {
		case <-r.soak.ctx.Done():
		case <-time.After(readInterval + time.Duration(r.random.Int64N(int64(readInterval)))):
		}
	}
}

// read returns the document, or nil without an answer.
func (r *documentReader) read() []byte {
	ctx, cancel := context.WithTimeout(r.soak.ctx, callTimeout)
	defer cancel()
	request, err := r.soak.Platform.Get(ctx, r.vm.site.OperatorAddr)
	if err != nil {
		r.soak.post(soak.HarnessFailed{Cause: err.Error()})
		return nil
	}
	response, err := client.Do(request)
	if err != nil {
		return nil // the VM may be down or cut off
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxDocument))
	if err != nil || response.StatusCode != http.StatusOK {
		return nil // run requests it again
	}
	return raw
}
