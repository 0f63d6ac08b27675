package config

import (
	"fmt"
	"slices"
	"strings"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// ZoneOrderInForce reports whether an order about a zone changes nothing, since the zone
// is in the ordered state already. An order that is not valid is never in force.
func (s *Store) ZoneOrderInForce(o entry.ZoneOrder) bool {
	return CheckZone(o.Zone).Status == entry.StatusOK && slices.Contains(s.zonesOut, o.Zone) == o.Out
}

// CheckZone validates the name of a zone.
func CheckZone(zone model.Zone) entry.Result {
	return checkName("zone", string(zone), " /[],")
}

// NextZoneOrderID returns the operation id of the next order that takes a zone out of use
// or puts it back. The id names the revision of the last such order, so that only one
// order can follow each order. The names come from the results of operations, which builds
// without this function store, too, and which survive restarts.
func (s *Store) NextZoneOrderID(zone model.Zone) model.OpID {
	prefix := fmt.Sprintf("zone/%s/", zone)
	var last model.Revision
	for id, op := range s.ops.byID {
		if strings.HasPrefix(string(id), prefix) {
			last = max(last, op.Result.Revision)
		}
	}
	return model.OpID(fmt.Sprintf("%s%d", prefix, last))
}
