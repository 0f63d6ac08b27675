package soak

import (
	"context"
	"net/http"
	"net/netip"

	"comfreypulley/core/model"
	"comfreypulley/io/proxy"
	"comfreypulley/io/serve"
)

// Rig speaks the side of the platform on which the processes run.
type Rig interface {
	HeaderNames() *proxy.HeaderNames
	// Arguments, Environment and Settings say how a process is started.
	Arguments(site *serve.PlatformSettings) []string
	Environment(file string) string
	Settings(site *serve.PlatformSettings, lister netip.AddrPort) string
	// List answers calls for the list of upstreams; nil refuses them.
	List(upstreams func() []model.Upstream) http.Handler
	// Document, Put and Get are the operators' side.
	Document(d *model.Document) ([]byte, error)
	Put(ctx context.Context, to netip.AddrPort, document []byte) (*http.Request, error)
	Get(ctx context.Context, from netip.AddrPort) (*http.Request, error)
}
