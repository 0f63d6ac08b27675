package proxy

import "time"

// Previous documents are kept for portions from VMs that have not received the
// current one yet, which takes about 50 ms. They are dropped soon after, since
// upstreams that saw a newer version from this VM must not see an older one
// later.
const (
	previousDocumentPeriod = 150 * time.Millisecond
	maxPreviousDocuments   = 3
)

// previousDocument is a document that was replaced.
type previousDocument struct {
	version uint64
	routes  routeTable
	until   time.Time // portions of this version are refused afterwards
}

// retainDocument keeps the current document, which is about to be replaced.
func (r *Router) retainDocument(at time.Time) {
	if r.document == nil {
		return
	}
	r.previousDocuments = append(r.previousDocuments, previousDocument{
		version: r.document.Version, routes: r.routes, until: at.Add(previousDocumentPeriod),
	})
	r.previousDocuments = r.previousDocuments[max(0, len(r.previousDocuments)-maxPreviousDocuments):]
}

// routesOf returns the routes of a document version, or nil when this VM does not
// have it or dropped it.
func (r *Router) routesOf(at time.Time, version uint64) *routeTable {
	if version == r.document.Version {
		return &r.routes
	}
	for i := range r.previousDocuments {
		if r.previousDocuments[i].version == version && !at.After(r.previousDocuments[i].until) {
			return &r.previousDocuments[i].routes
		}
	}
	return nil
}
