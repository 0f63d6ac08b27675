package soak

import (
	"context"
	"net/http"
	"net/netip"

	"comfreypulley/core/model"
	"comfreypulley/io/proxy"
	"comfreypulley/io/serve"
)

// Platform emulates the platform that the processes run on.
type Platform interface {
	HeaderNames() *proxy.HeaderNames
	// Arguments and Environment are those of a VM's process; Settings is the
	// content of its settings file.
	Arguments(site *serve.PlatformSettings) []string
	Environment(file string) string
	Settings(site *serve.PlatformSettings, lister netip.AddrPort) string
	// List serves the platform's list of upstreams. It refuses a call for which
	// upstreams returns nil.
	List(upstreams func() []model.Upstream) http.Handler
	// Document encodes a routing document, whose teams have keys with these hashes, for
	// operators. Put and Get return the requests that submit a document to a VM and read
	// it from one.
	Document(d *model.Document, keys map[model.KeyHash]string) ([]byte, error)
	Put(ctx context.Context, to netip.AddrPort, document []byte) (*http.Request, error)
	Get(ctx context.Context, from netip.AddrPort) (*http.Request, error)
	// OrderZone returns the operator's request that takes the upstreams of a zone out of
	// use, or puts them back.
	OrderZone(ctx context.Context, to netip.AddrPort, zone model.Zone, out bool) (*http.Request, error)
}
