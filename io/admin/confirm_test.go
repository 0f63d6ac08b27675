package admin_test

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"comfreypulley/core/model"
	"comfreypulley/io/admin"
)

// Guards against an acknowledged order about a zone that a late copy of an earlier one
// undoes: one that waited in the socket of a VM that was paused, and whose sender has gone.
func TestLateZoneOrderChangesNothing(t *testing.T) {
	f := newTestServer(t)
	ctx := t.Context()
	out := func() error { _, err := f.client.TakeZoneOut(ctx, admin.ChangeHeaders{}, "a"); return err }
	back := func() error { _, err := f.client.PutZoneBack(ctx, admin.ChangeHeaders{}, "a"); return err }
	// A sender that has gone follows no redirect.
	gone := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	send := func(target string) (location string) {
		r, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := gone.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		return f.http.URL + response.Header.Get("Location")
	}
	first := f.http.URL + "/v1/zone/a/out"
	if err := out(); err != nil {
		t.Fatal(err)
	}
	second := send(first) // its sender stops here, with the second request on its way
	for _, order := range []func() error{back, out} {
		if err := order(); err != nil {
			t.Fatal(err)
		}
	}
	for _, late := range []string{first, second, second} {
		send(late)
		if got, err := f.client.ZonesOut(ctx); err != nil || !slices.Equal(got, []model.Zone{"a"}) {
			t.Errorf("after a late copy of %s: got zones %v out of use (%v), want a", late, got, err)
		}
	}
	// An operation id of the operator's own distinguishes its orders as before.
	if _, err := f.client.PutZoneBack(ctx, admin.ChangeHeaders{Operation: "op1"}, "a"); err != nil {
		t.Fatal(err)
	}
	if err := out(); err != nil {
		t.Fatal(err)
	}
	if _, err := f.client.PutZoneBack(ctx, admin.ChangeHeaders{Operation: "op1"}, "a"); err != nil {
		t.Fatal(err)
	}
	if got, err := f.client.ZonesOut(ctx); err != nil || !slices.Equal(got, []model.Zone{"a"}) {
		t.Errorf("after a resend: got zones %v out of use (%v), want a", got, err)
	}
}

// Guards against an upstream that is in use again after its removal, since a late copy of
// the request that added it arrives: revision 0 says only that it must not exist.
func TestLateAdditionAfterARemoval(t *testing.T) {
	f := newTestServer(t)
	ctx := t.Context()
	gone := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	send := func(target string) (location string) {
		body := `{"id":"u1","addr":"127.0.0.1:9000","zone":"a","index":"pairing","slots":3,"conns":65,"dial":"6ms","state":"active"}`
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, target, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := gone.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if response.StatusCode == http.StatusBadRequest {
			t.Fatalf("got status %d, want a valid request", response.StatusCode)
		}
		return f.http.URL + response.Header.Get("Location")
	}
	first := f.http.URL + "/v1/upstream/u1"
	second := send(first)
	u := model.Upstream{ID: "u1", Addr: netip.MustParseAddrPort("127.0.0.1:9000"), Zone: "a", Index: "pairing", Slots: 3, MaxConns: 65}
	added, err := f.client.PutUpstream(ctx, admin.ChangeHeaders{}, u)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.client.Remove(ctx, admin.ChangeHeaders{ExpectedRevision: model.Revision(added.Revision)}, "upstream", "u1"); err != nil {
		t.Fatal(err)
	}
	for _, late := range []string{first, second, second} {
		send(late)
		if got, err := f.client.Upstreams(ctx); err != nil || len(got) != 0 {
			t.Errorf("after a late copy of %s: got upstreams %v (%v), want none", late, got, err)
		}
	}
	if _, err := f.client.PutUpstream(ctx, admin.ChangeHeaders{}, u); err != nil {
		t.Errorf("got error %v for a new addition, want none", err)
	}
}

// Guards against a change that can never be made any more, since an invalid one has used the
// operation that is next.
func TestInvalidAdditionBlocksNothing(t *testing.T) {
	f := newTestServer(t)
	u := model.Upstream{ID: "u1", Addr: netip.MustParseAddrPort("127.0.0.1:9000"), Zone: "a", Index: "pairing", MaxConns: 65}
	_, err := f.client.PutUpstream(t.Context(), admin.ChangeHeaders{}, u)
	wantHTTPStatus(t, err, http.StatusBadRequest)
	u.Slots = 3
	if _, err := f.client.PutUpstream(t.Context(), admin.ChangeHeaders{}, u); err != nil {
		t.Errorf("got error %v for the corrected one, want none", err)
	}
}
