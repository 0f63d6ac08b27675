package proxy

import "time"

// Documents that were in force are kept for the portions of VMs that do not have
// the present one yet, which they get within some 50 ms. Later, a portion would
// have this VM go back behind a version that upstreams have seen of it.
const (
	earlierFor  = 150 * time.Millisecond
	mostEarlier = 3
)

// generation is a document that was in force.
type generation struct {
	version uint64
	routes  routes
	until   time.Time // no portion of it after
}

// keepEarlier keeps the document in force, which is about to be replaced.
func (t *Table) keepEarlier(at time.Time) {
	if t.document == nil {
		return
	}
	t.earlier = append(t.earlier, generation{version: t.document.Version, routes: t.routes, until: at.Add(earlierFor)})
	t.earlier = t.earlier[max(0, len(t.earlier)-mostEarlier):]
}

// routesOf returns the routes of a document, nil when it is not known here or was
// replaced a while ago.
func (t *Table) routesOf(at time.Time, version uint64) *routes {
	if version == t.document.Version {
		return &t.routes
	}
	for i := range t.earlier {
		if t.earlier[i].version == version && !at.After(t.earlier[i].until) {
			return &t.earlier[i].routes
		}
	}
	return nil
}
