package serve

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/proxy"
)

// PlatformSettings are the settings of a [PlatformVM]. They come from the
// platform.
type PlatformSettings struct {
	VM                  model.VM
	Seeds               []model.VM           // disk VMs, contacted before a configuration is known
	Bootstrap           bool                 // the fleet starts for the first time; the seeds are the first replicas of the log
	ToleratedDiskLosses int                  // disks that may be lost at once
	DataFolder          string               // empty on a VM without a disk
	PeerListenAddr      netip.AddrPort       // listener for other VMs when they connect to VM.PeerAddr through a port forwarder; zero otherwise
	PortionAddr         netip.AddrPort       // listener for portions of other VMs' requests; zero when this VM accepts none
	MinShardsToDelegate int                  // requests over at least this many shards are divided among VMs; 0 means never
	CallerAddr          netip.AddrPort       // listener for callers; zero on a VM that serves none
	ReadyAddr           netip.AddrPort       // listener for the load balancer's health check
	OperatorAddr        netip.AddrPort       // listener for operators; zero when this VM accepts none
	MetricsAddr         netip.AddrPort       // listener for metrics
	MemoryBytes         int64                // of the VM, in bytes; 0 when unknown
	CPUCores            float64              // CPU available to the VM, in cores; 0 when unknown
	ShutdownGrace       time.Duration        // from SIGTERM until the process is killed
	RetryBudgetRatio    float64              // fleet-wide retries and hedges for a service, as a fraction of its requests
	RetryBudgetExtra    int                  // fleet-wide retries and hedges for a service allowed on top of the ratio
	RetryBudgetWindow   time.Duration        // time window over which retries and hedges are counted
	ChangeBound         time.Duration        // within which a change of the document must be in force on every VM; 0 for the default
	Tolerance           model.QuotaTolerance // by how much customers may exceed their limits for a short time
	IgnoredSettings     []string             // invalid settings that were ignored, for the log
	HeaderNames         *proxy.HeaderNames
	UpstreamLister      UpstreamLister                     // nil on a VM that does not read the list of upstreams
	NewOperatorHandler  func(OperatorBackend) http.Handler // makes the handler for operators' requests
	// CompleteDocument decodes what an earlier build has left out of a document from the
	// operator's text; nil when there is no text.
	CompleteDocument func(*model.Document) *model.Document
	NewHealthHandler func(ready func() bool) http.Handler // makes the handler for the load balancer's health check
}

// UpstreamLister reads the platform's list of upstreams.
type UpstreamLister interface {
	// List returns the upstreams, and what was left out as invalid.
	List(ctx context.Context) (read event.UpstreamListRead, err error)
}
