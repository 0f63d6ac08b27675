package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"comfreypulley/core/model"
)

// clientTimeout is longer than a VM takes to give up on a command.
const clientTimeout = 15 * time.Second

// Client sends operators' requests to one VM. Addr is set before use.
type Client struct {
	Addr netip.AddrPort
	TLS  *tls.Config // nil for plain HTTP
}

// Change holds the headers of a change.
type Change struct {
	Operation string         // the VM draws one when it is empty
	Expect    model.Revision // 0 states none
}

// ResultError reports a change that was refused or whose fate is not known.
type ResultError struct {
	Code   int // HTTP status
	Result Result
}

// Error implements error.
func (e *ResultError) Error() string {
	text := fmt.Sprintf("%s (HTTP %d)", e.Result.Status, e.Code)
	if e.Result.Detail != "" {
		text += ": " + e.Result.Detail
	}
	if e.Code == http.StatusConflict {
		text += fmt.Sprintf("; the current revision is %d", e.Result.Revision)
	}
	return text
}

// PutContract creates or changes a contract.
func (c *Client) PutContract(ctx context.Context, change Change, v model.Contract) (Result, error) {
	return c.change(ctx, change, http.MethodPut, "/v1/contract/"+url.PathEscape(v.Customer), contractFrom(v))
}

// RetireContract retires a contract.
func (c *Client) RetireContract(ctx context.Context, change Change, customer string) (Result, error) {
	return c.change(ctx, change, http.MethodDelete, "/v1/contract/"+url.PathEscape(customer), nil)
}

// Contracts lists all contracts.
func (c *Client) Contracts(ctx context.Context) (found []model.Contract, err error) {
	var bodies []contractBody
	err = c.get(ctx, "/v1/contract", &bodies)
	for _, b := range bodies {
		found = append(found, b.model())
	}
	return found, err
}

// Contract returns one contract.
func (c *Client) Contract(ctx context.Context, customer string) (model.Contract, error) {
	var b contractBody
	err := c.get(ctx, "/v1/contract/"+url.PathEscape(customer), &b)
	return b.model(), err
}

// PutUpstream adds or changes an upstream.
func (c *Client) PutUpstream(ctx context.Context, change Change, v model.Upstream) (Result, error) {
	return c.change(ctx, change, http.MethodPut, "/v1/upstream/"+url.PathEscape(string(v.ID)), upstreamFrom(v))
}

// PutVM adds or changes a VM.
func (c *Client) PutVM(ctx context.Context, change Change, v model.VM) (Result, error) {
	return c.change(ctx, change, http.MethodPut, "/v1/vm/"+url.PathEscape(string(v.ID)), vmFrom(v))
}

// Drain drains an upstream or VM; kind is upstream or vm.
func (c *Client) Drain(ctx context.Context, change Change, kind, id string) (Result, error) {
	return c.change(ctx, change, http.MethodPost, "/v1/"+kind+"/"+url.PathEscape(id)+"/drain", nil)
}

// Remove removes an upstream or VM; kind is upstream or vm.
func (c *Client) Remove(ctx context.Context, change Change, kind, id string) (Result, error) {
	return c.change(ctx, change, http.MethodDelete, "/v1/"+kind+"/"+url.PathEscape(id), nil)
}

// Upstreams lists all upstreams.
func (c *Client) Upstreams(ctx context.Context) (found []model.Upstream, err error) {
	var bodies []upstreamBody
	err = c.get(ctx, "/v1/upstream", &bodies)
	for _, b := range bodies {
		found = append(found, b.model())
	}
	return found, err
}

// VMs lists all VMs.
func (c *Client) VMs(ctx context.Context) (found []model.VM, err error) {
	var bodies []vmBody
	err = c.get(ctx, "/v1/vm", &bodies)
	for _, b := range bodies {
		found = append(found, b.model())
	}
	return found, err
}

// Status returns what the VM knows of the fleet, confirmed by the leader when
// current is set.
func (c *Client) Status(ctx context.Context, current bool) (s Status, err error) {
	path := "/v1/status"
	if current {
		path += "?current=yes"
	}
	err = c.get(ctx, path, &s)
	return s, err
}

// Explain returns the decisions about a subject, oldest first.
func (c *Client) Explain(ctx context.Context, subject string) (notes []Note, err error) {
	err = c.get(ctx, "/v1/explain?subject="+url.QueryEscape(subject), &notes)
	return notes, err
}

func (c *Client) change(ctx context.Context, change Change, method, path string, body any) (r Result, err error) {
	header := http.Header{}
	if change.Operation != "" {
		header.Set(headerOperation, change.Operation)
	}
	if change.Expect != 0 {
		header.Set(headerExpect, strconv.FormatUint(uint64(change.Expect), 10))
	}
	err = c.do(ctx, method, path, header, body, &r)
	return r, err
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	return c.do(ctx, http.MethodGet, path, http.Header{}, nil, into)
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header, body, into any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s %s: %w", method, path, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	var raw []byte
	if body != nil {
		if raw, err = json.Marshal(body); err != nil {
			return err
		}
	}
	scheme := "http://"
	if c.TLS != nil {
		scheme = "https://"
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+c.Addr.String()+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	request.Header = header
	// The transport reaches the VM directly, whatever proxy the environment names.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: c.TLS}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		problem := &ResultError{Code: response.StatusCode}
		if err := json.NewDecoder(response.Body).Decode(&problem.Result); err != nil {
			problem.Result.Status = response.Status
		}
		return problem
	}
	return json.NewDecoder(response.Body).Decode(into)
}
