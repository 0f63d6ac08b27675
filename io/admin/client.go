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

// clientTimeout is longer than the time after which a VM gives up on a command.
const clientTimeout = 15 * time.Second

// Client sends operators' requests to one VM. Addr must be set before use.
type Client struct {
	Addr netip.AddrPort
	TLS  *tls.Config // nil for plain HTTP
}

// ChangeHeaders holds the values for the headers of a change.
type ChangeHeaders struct {
	Operation        string         // id; when empty, the VM chooses one
	ExpectedRevision model.Revision // of the object to change; 0 omits the header
}

// ResultError reports a response other than 200: the request was refused, or it is
// unknown whether the change was applied.
type ResultError struct {
	StatusCode int // HTTP status
	Result     Result
}

// Error implements error.
func (e *ResultError) Error() string {
	text := fmt.Sprintf("%s (HTTP %d)", e.Result.Status, e.StatusCode)
	if e.Result.Detail != "" {
		text += ": " + e.Result.Detail
	}
	if e.StatusCode == http.StatusConflict {
		text += fmt.Sprintf("; the current revision is %d", e.Result.Revision)
	}
	return text
}

// PutContract creates or changes a contract.
func (c *Client) PutContract(ctx context.Context, change ChangeHeaders, v model.Contract) (Result, error) {
	return c.change(ctx, change, http.MethodPut, "/v1/contract/"+url.PathEscape(v.Customer), contractFrom(v))
}

// RetireContract retires a contract.
func (c *Client) RetireContract(ctx context.Context, change ChangeHeaders, customer string) (Result, error) {
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
func (c *Client) PutUpstream(ctx context.Context, change ChangeHeaders, v model.Upstream) (Result, error) {
	return c.change(ctx, change, http.MethodPut, "/v1/upstream/"+url.PathEscape(string(v.ID)), upstreamFrom(v))
}

// PutVM adds or changes a VM.
func (c *Client) PutVM(ctx context.Context, change ChangeHeaders, v model.VM) (Result, error) {
	return c.change(ctx, change, http.MethodPut, "/v1/vm/"+url.PathEscape(string(v.ID)), vmFrom(v))
}

// Drain drains an upstream or VM; kind is upstream or vm.
func (c *Client) Drain(ctx context.Context, change ChangeHeaders, kind, id string) (Result, error) {
	return c.change(ctx, change, http.MethodPost, "/v1/"+kind+"/"+url.PathEscape(id)+"/drain", nil)
}

// Remove removes an upstream or VM; kind is upstream or vm.
func (c *Client) Remove(ctx context.Context, change ChangeHeaders, kind, id string) (Result, error) {
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

// TakeZoneOut takes the upstreams of a zone out of use.
func (c *Client) TakeZoneOut(ctx context.Context, change ChangeHeaders, zone model.Zone) (Result, error) {
	return c.change(ctx, change, http.MethodPut, "/v1/zone/"+url.PathEscape(string(zone))+"/out", nil)
}

// PutZoneBack puts the upstreams of a zone back into use.
func (c *Client) PutZoneBack(ctx context.Context, change ChangeHeaders, zone model.Zone) (Result, error) {
	return c.change(ctx, change, http.MethodDelete, "/v1/zone/"+url.PathEscape(string(zone))+"/out", nil)
}

// ZonesOut returns the zones whose upstreams are out of use, ascending.
func (c *Client) ZonesOut(ctx context.Context) (zones []model.Zone, err error) {
	err = c.get(ctx, "/v1/zone", &zones)
	return zones, err
}

// FleetStatus returns what the VM knows about the fleet. With linearizable set,
// the leader must confirm that it is current.
func (c *Client) FleetStatus(ctx context.Context, linearizable bool) (s FleetStatus, err error) {
	path := "/v1/status"
	if linearizable {
		path += "?current=yes"
	}
	err = c.get(ctx, path, &s)
	return s, err
}

// Explain returns the notes whose subject contains the given text, oldest first.
func (c *Client) Explain(ctx context.Context, subject string) (notes []Note, err error) {
	err = c.get(ctx, "/v1/explain?subject="+url.QueryEscape(subject), &notes)
	return notes, err
}

// Plan returns where a request or a query would go now, by the VM that answers.
func (c *Client) Plan(ctx context.Context, q PlanQuery) (p Plan, err error) {
	values := url.Values{}
	for name, value := range map[string]string{"customer": q.Customer, "host": q.Host, "path": q.Path, "index": q.Index} {
		if value != "" {
			values.Set(name, value)
		}
	}
	err = c.get(ctx, "/v1/plan?"+values.Encode(), &p)
	return p, err
}

// change sends a change and returns its result.
func (c *Client) change(ctx context.Context, change ChangeHeaders, method, path string, body any) (r Result, err error) {
	header := http.Header{}
	if change.Operation != "" {
		header.Set(headerOperation, change.Operation)
	}
	if change.ExpectedRevision != 0 {
		header.Set(headerExpectRevision, strconv.FormatUint(uint64(change.ExpectedRevision), 10))
	}
	err = c.do(ctx, method, path, header, body, &r)
	return r, err
}

// get requests a path and decodes the response into result.
func (c *Client) get(ctx context.Context, path string, result any) error {
	return c.do(ctx, http.MethodGet, path, http.Header{}, nil, result)
}

// do sends a request and decodes the response into result. A response other than 200
// gives a *ResultError.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, body, result any) (err error) {
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
	// This transport ignores proxies set in the environment.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: c.TLS}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		resultErr := &ResultError{StatusCode: response.StatusCode}
		if err := json.NewDecoder(response.Body).Decode(&resultErr.Result); err != nil {
			resultErr.Result.Status = response.Status
		}
		return resultErr
	}
	return json.NewDecoder(response.Body).Decode(result)
}
