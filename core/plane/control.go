package plane

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"comfreypulley/core/config"
	"comfreypulley/core/crash"
	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/ledger"
	"comfreypulley/core/model"
)

// Control is the control state of one process. The zero value has no
// configuration in force.
type Control struct {
	settings          event.Start
	replicated        bool // the fleet has disk VMs, so the configuration comes from the log
	store             config.Store
	ledger            ledger.Ledger
	log               Replicator // nil on a VM that does not replicate the log
	applied           appliedState
	proposals         proposalQueue
	barrier           restartBarrier
	lastForwards      map[model.VMID]uint64 // number of the last command that each VM forwarded here
	pendingReads      []pendingRead
	history           history
	tree              tree
	detector          failureDetector
	configuredAt      time.Time      // when the first configuration was applied; zero before
	publishedRevision model.Revision // of the last view sent to the traffic states; 0 before the first
	suspects          []model.VMID   // VMs that the failure detector suspected at the last check
	holder            leaseHolder
	granter           leaseGranter
	demand            map[int]map[string]int // by traffic loop and customer
	nextQuotaChange   time.Time              // when this VM's quotas change without a message; zero when they do not
	reportedLeader    model.VMID             // leader named in another VM's answer to a forwarded command
	lostLeader        model.VMID             // leader whose connection was lost, until something is heard of it
	lastMajority      time.Time              // last contact with a majority, for a VM that has neither log nor tree
	lastStatus        LogStatus              // of the log when it was last checked
	platformVMs       event.PlatformVMs      // last list of VMs from the platform
	replicasRevision  model.Revision         // revision whose disk VMs were last passed to the log as replicas
	crashReports      crashReports
	crashes           crash.History // what the reports say, for VMs that start
	registration      registration
	upstreamList      upstreamList
	entryVMs          entryVMs
	isolation         zoneIsolation
	limits            limits
	tokens            tokens
	overdue           bool // last report to the traffic states
	draining          bool
	stale             bool // the disk failed before all entries on it were applied; cleared when the tree brings a configuration
}

// Start applies the settings. Without disk VMs the configuration in the
// settings is in force at once. Any other VM publishes no view before it
// receives a configuration from the log or from its parent in the distribution
// tree.
func (c *Control) Start(at time.Time, start event.Start, out []effect.Effect) []effect.Effect {
	first := len(out)
	c.settings = start
	c.tokens.issuer.Self = start.VM.ID
	c.tokens.client.Start(uint64(start.ProcessStart.UnixNano()) &^ relaySeqs)
	c.lastMajority = at
	c.proposals.lastForward = uint64(start.ProcessStart.UnixNano())
	c.replicated = start.VM.HasDisk || len(c.diskVMs()) > 0
	if c.replicated {
		out = c.startUpstreamList(at, c.startRegistration(at, out))
		return c.complete(first, c.startTree(at, out))
	}
	if start.InitialConfig == nil {
		return out
	}
	initial := initialConfig(start.InitialConfig)
	c.store.Apply(at, entry.Change{InitialConfig: &initial})
	return c.complete(first, c.publish(at, out))
}

// HandleSettings applies changed settings.
func (c *Control) HandleSettings(_ time.Time, e event.SettingsChanged, out []effect.Effect) []effect.Effect {
	e.Apply(&c.settings)
	if c.tree != nil {
		known := c.settingsVMs()
		known[c.settings.VM.ID] = c.settings.VM
		vms := make([]model.VM, 0, len(known))
		for _, id := range slices.Sorted(maps.Keys(known)) {
			vms = append(vms, known[id])
		}
		c.tree.SetPeers(vms)
		c.tree.SetChangeBound(e.ChangeBound)
	}
	return out
}

// Drain hands over leadership. It reports effect.Drained once every command has an
// answer and this VM no longer leads: without it the other VMs would wait for an
// election timeout.
func (c *Control) Drain(at time.Time, out []effect.Effect) []effect.Effect {
	first := len(out)
	c.draining = true
	if c.leading() {
		out = c.log.Resign(at, out)
	}
	return c.complete(first, c.update(at, out))
}

// HandleTimer handles a timer of the control state. Each method named timer
// handles one of them.
func (c *Control) HandleTimer(at time.Time, id event.TimerID, out []effect.Effect) []effect.Effect {
	first := len(out)
	switch id.Kind {
	case event.TimerElection, event.TimerHeartbeat:
		if c.log != nil {
			out = c.log.HandleTimer(at, id.Kind, out)
		}
	case event.TimerPropose:
		out = c.retryProposals(at, out)
	case event.TimerTree:
		out = c.timerTree(at, out)
	case event.TimerLiveness:
		out = c.timerLiveness(at, out)
	case event.TimerLease:
		out = c.timerLease(at, out)
	case event.TimerRegistration:
		out = c.timerRegistration(at, out)
	case event.TimerUpstreamList:
		out = c.timerUpstreamList(at, out)
	case event.TimerToken:
		out = c.tokens.client.HandleTimer(at, id.N, out)
	case event.TimerTokenExchange:
		out = c.timerTokenExchange(at, out)
	default:
		return out
	}
	return c.complete(first, c.update(at, out))
}

// update runs after every event that may have changed a component: it applies
// what the log committed, publishes the configuration when its revision changed,
// and completes a drain.
func (c *Control) update(at time.Time, out []effect.Effect) []effect.Effect {
	out = c.applyCommitted(at, out)
	out = c.updateTreeFromLog(at, out)
	if c.store.Revision() != c.publishedRevision && !c.mayMissEntries() && c.treeReady(at) {
		out = c.publish(at, out)
		out = c.notifyTree(at, out)
	}
	out = c.followLeadership(at, out)
	out = c.reportOverdue(at, out)
	c.reportSuspects(at)
	if c.draining && c.proposals.idle() && !c.leading() {
		c.draining = false
		out = append(out, effect.Drained{})
	}
	return out
}

// publish sends the configuration in force to the traffic states.
func (c *Control) publish(at time.Time, out []effect.Effect) []effect.Effect {
	c.publishedRevision = c.store.Revision()
	topology := c.store.Topology()
	if c.log == nil {
		out = append(out, effect.Note{
			At: at, Subject: "configuration", Action: fmt.Sprintf("revision %d in force", c.publishedRevision), Cause: "received",
		})
	}
	c.registerVMs(topology.VMs)
	out = c.updateTokens(at, topology, c.publishViews(at, topology, out))
	if c.holder != nil {
		c.nextQuotaChange = c.holder.NextChange(at)
	}
	return out
}

// diskVMs lists the active disk VMs, which should replicate the log: those of
// the configuration in force or, before there is one, of the settings.
func (c *Control) diskVMs() []model.VMID {
	vms := c.store.Topology().VMs
	if c.store.Revision() == 0 {
		vms = c.settingsVMs()
	}
	var ids []model.VMID
	for _, id := range slices.Sorted(maps.Keys(vms)) {
		if vms[id].HasDisk && vms[id].State == model.StateActive {
			ids = append(ids, id)
		}
	}
	return ids
}

// settingsVMs returns the VMs named in the settings.
func (c *Control) settingsVMs() map[model.VMID]model.VM {
	vms := make(map[model.VMID]model.VM)
	for _, vm := range c.settings.Peers {
		vms[vm.ID] = vm
	}
	if c.settings.InitialConfig != nil {
		maps.Copy(vms, c.settings.InitialConfig.VMs)
	}
	return vms
}

// peerAddr returns the address at which a VM listens for other VMs.
func (c *Control) peerAddr(id model.VMID) netip.AddrPort {
	if vm, ok := c.store.VM(id); ok {
		return vm.PeerAddr
	}
	if vm, ok := c.settingsVMs()[id]; ok {
		return vm.PeerAddr
	}
	return c.addrFromID(id)
}

// initialConfig converts the configuration in the settings into the first one
// of the log, in a fixed order.
func initialConfig(topology *model.Topology) entry.Config {
	var cfg entry.Config
	for _, id := range slices.Sorted(maps.Keys(topology.Contracts)) {
		cfg.Contracts = append(cfg.Contracts, topology.Contracts[id])
	}
	for _, id := range slices.Sorted(maps.Keys(topology.Upstreams)) {
		cfg.Upstreams = append(cfg.Upstreams, topology.Upstreams[id])
	}
	for _, id := range slices.Sorted(maps.Keys(topology.VMs)) {
		cfg.VMs = append(cfg.VMs, topology.VMs[id])
	}
	return cfg
}
