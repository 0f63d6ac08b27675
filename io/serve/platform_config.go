package serve

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/proxy"
)

// Site is the configuration of a [Resident], which comes from the platform.
type Site struct {
	VM       model.VM
	Seeds    []model.VM     // VMs with disks, contacted before a configuration is known
	Founding bool           // the fleet starts for the first time; the seeds are the first replicas of the log
	Losses   int            // disks that may be lost at once without loss of the log
	Data     string         // data folder; empty on a VM without a disk
	Peering  netip.AddrPort // listener for other VMs when they connect to VM.PeerAddr through a port forwarder; zero otherwise
	Gathers  netip.AddrPort // listener for portions of other VMs' requests; zero when this VM accepts none
	Spread   int            // requests over at least this many shards are divided among VMs; 0 means never
	Callers  netip.AddrPort // listener for callers; zero on a VM that serves none
	Ready    netip.AddrPort // listener for the load balancer's health check
	Control  netip.AddrPort // listener for operators; zero when this VM accepts none
	Metrics  netip.AddrPort // listener for metrics
	Memory   int64          // of the VM, in bytes; 0 when unknown
	Speed    float64        // CPU available to the VM, in cores; 0 when unknown
	Grace    time.Duration  // from SIGTERM until the process is killed
	Ratio    float64        // fleet-wide retries and hedges for a service, as a fraction of its requests
	Extra    int            // fleet-wide retries and hedges for a service allowed on top of the ratio
	Window   time.Duration  // time window over which retries and hedges are counted
	Ignored  []string       // invalid settings that were ignored, for the log
	Dialect  *proxy.HeaderNames
	Lister   Lister                               // nil on a VM that does not read the list of upstreams
	Operator func(Asker) http.Handler             // makes the handler for operators' requests
	Probe    func(ready func() bool) http.Handler // makes the handler for the load balancer's health check
}

// Lister reads the platform's list of upstreams.
type Lister interface {
	// List returns the upstreams and the number of invalid entries that were
	// left out.
	List(ctx context.Context) (upstreams []model.Upstream, ignored int, err error)
}
