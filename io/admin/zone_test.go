package admin_test

import (
	"net/http"
	"slices"
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
