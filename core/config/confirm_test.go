package config

import (
	"testing"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// Guards against two orders about a zone that take effect one after the other although both
// follow the same order: a late copy of the first would undo the second. The order of
// operations must hold in an image that an earlier build has written.
func TestOneZoneOrderFollowsAnother(t *testing.T) {
	var s Store
	at := time.Unix(0, 0)
	s.Apply(at, entry.Change{InitialConfig: &entry.Config{}})
	order := func(s *Store, op model.OpID, out bool) entry.Result {
		c := orderZone("a", out)
		c.Op = op
		return s.Apply(at, c)
	}
	first := s.NextOperation(orderZone("a", true))
	order(&s, first, true)
	second := s.NextOperation(orderZone("a", true))
	if first == second {
		t.Fatalf("got id %q twice, want another one after an order", first)
	}
	if got := s.NextOperation(orderZone("b", true)); got == first || got == second {
		t.Errorf("got id %q for another zone", got)
	}
	order(&s, second, false)
	third := s.NextOperation(orderZone("a", true))
	order(&s, third, true)
	var restored Store
	restored.Restore(s.Image())
	for name, replica := range map[string]*Store{"applied": &s, "restored": &restored} {
		if r := order(replica, second, false); r.Status != entry.StatusOK || !replica.ZoneOrderInForce(entry.ZoneOrder{Zone: "a", Out: true}) {
			t.Errorf("%s: got %+v for a late copy, and zones %v out of use, want the first result and a", name, r, replica.Topology().ZonesOut)
		}
		if r := order(replica, third, false); r.Status != entry.StatusInvalid {
			t.Errorf("%s: got %+v for another order under a used id, want it invalid", name, r)
		}
		if got, want := replica.NextOperation(orderZone("a", true)), s.NextOperation(orderZone("a", true)); got != want {
			t.Errorf("%s: got next id %q, want %q", name, got, want)
		}
	}
}
