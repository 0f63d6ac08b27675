package serve

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/proxy"
)

// Site is what a process of a fleet that enrols by itself learns from its
// platform.
type Site struct {
	VM       model.VM
	Seeds    []model.VM     // VMs with disks that may be asked first
	Founding bool           // the fleet starts for the first time; the seeds found the log
	Losses   int            // disks that may be lost at once
	Data     string         // data folder; empty on a VM without a disk
	Peering  netip.AddrPort // where other VMs' connections are accepted, when it is not the peer address they dial
	Gathers  netip.AddrPort // where other VMs send portions of requests; zero takes none
	Spread   int            // shards of a request from which portions go to other VMs; 0 means never
	Callers  netip.AddrPort
	Ready    netip.AddrPort
	Control  netip.AddrPort // of operators
	Metrics  netip.AddrPort
	Memory   int64         // bytes
	Speed    float64       // processor, in cores
	Grace    time.Duration // from the request to stop until the process is killed
	Ratio    float64       // extra attempts as a share of the requests for a service
	Extra    int           // extra attempts for a service beyond that
	Window   time.Duration // in which the extra attempts are counted
	Ignored  []string      // settings that make no sense and are left out
	Dialect  *proxy.HeaderNames
	Lister   Lister
	Operator func(Asker) http.Handler // the operators' interface
	Probe    func(ready func() bool) http.Handler
}

// Lister reads the platform's list of upstreams.
type Lister interface {
	// List returns the upstreams, and how many entries were left out because
	// they make no sense.
	List(ctx context.Context) (upstreams []model.Upstream, ignored int, err error)
}
