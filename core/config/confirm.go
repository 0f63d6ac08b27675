package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// Check validates a change without applying it. The status is StatusOK when the change
// is well formed and expects the current revision.
func (s *Store) Check(c entry.Change) entry.Result {
	_, result := s.check(c)
	return result
}

// ZoneOrderInForce reports whether an order about a zone changes nothing, since the zone
// is in the ordered state already.
func (s *Store) ZoneOrderInForce(o entry.ZoneOrder) bool {
	return slices.Contains(s.zonesOut, o.Zone) == o.Out
}

// NextOperation returns the operation id of the next change of an object that does not say
// what it follows. Only one such change has each id, so that a late copy is told from a new
// one. The ids are numbered from the results of operations, which builds without this
// function store, too, and which survive restarts.
func (s *Store) NextOperation(c entry.Change) model.OpID {
	prefix := operationPrefix(c)
	var last uint64
	for id := range s.ops.byID {
		if number, ok := strings.CutPrefix(string(id), prefix); ok {
			n, err := strconv.ParseUint(number, 10, 64)
			if err == nil {
				last = max(last, n)
			}
		}
	}
	return model.OpID(prefix + strconv.FormatUint(last+1, 10))
}

// NeedsConfirmation reports whether a late copy of a change cannot be told from a new
// one: it does not say what it follows, and its operation id, if any, is not one that the
// operator chose.
func NeedsConfirmation(c entry.Change) bool {
	return c.IsUnordered() && (c.Op == "" || strings.HasPrefix(string(c.Op), operationPrefix(c)))
}

// operationPrefix returns what the ids of unordered changes of an object begin with. Names
// contain no slash.
func operationPrefix(c entry.Change) string {
	switch {
	case c.Zone != nil:
		return fmt.Sprintf("zone/%s/", c.Zone.Zone)
	case c.Upstream != nil:
		return fmt.Sprintf("upstream/%s/", c.Upstream.ID)
	default:
		return fmt.Sprintf("vm/%s/", c.VM.ID)
	}
}
