package plane

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"comfreypulley/core/config"
	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/ledger"
	"comfreypulley/core/model"
)

// Control is the control state of one process. The zero value has no
// configuration in force.
type Control struct {
	start      event.Start
	replicated bool // the fleet has VMs with disks, so configuration comes from the log
	store      config.Store
	book       ledger.Book
	log        Replicator // nil on a VM without a disk
	applied    position
	queue      queue
	fresh      fresh
	taken      map[model.VMID]uint64 // number of the last command that a VM forwarded here
	reads      []read
	history    history
	tree       tree
	watch      watch
	published  model.Revision
	suspects   []model.VMID
	holder     holder
	granter    granter
	demand     map[int]map[string]int // by traffic loop and customer
	changes    time.Time              // when the shares change by themselves
	named      model.VMID             // leader that another VM named in an answer
	heard      time.Time              // when a majority was last heard of, without a log and a tree
	lead       Standing               // as last seen
	platform   event.PlatformVMs
	wanted     model.Revision
	strikes    strikes
	enrol      enrol
	roster     roster
	daemons    daemons
	outside    outside
	draining   bool
	stale      bool // left the log before everything on its disk was applied; waits for the tree
}

// Start takes over the settings. A fleet without VMs with disks serves the
// configuration in its settings; any other VM waits for one from the log or its
// parent and publishes no view before.
func (c *Control) Start(at time.Time, start event.Start, out []effect.Effect) []effect.Effect {
	from := len(out)
	c.start = start
	c.heard = at
	c.queue.next = uint64(start.ProcessStart.UnixNano())
	c.replicated = start.VM.HasDisk || len(c.disks()) > 0
	if c.replicated {
		out = c.startRoster(at, c.startEnrol(at, out))
		return c.seal(from, c.startTree(at, out))
	}
	if start.InitialConfig == nil {
		return out
	}
	g := genesis(start.InitialConfig)
	c.store.Apply(at, entry.Change{InitialConfig: &g})
	return c.seal(from, c.publish(at, out))
}

// Drain hands over leadership and reports effect.Drained once no command is
// waiting for its answer.
func (c *Control) Drain(at time.Time, out []effect.Effect) []effect.Effect {
	from := len(out)
	c.draining = true
	if c.leading() {
		out = c.log.Resign(at, out)
	}
	return c.seal(from, c.moved(at, out))
}

// Timer takes a timer of the control state.
func (c *Control) Timer(at time.Time, id event.TimerID, out []effect.Effect) []effect.Effect {
	from := len(out)
	switch id.Kind {
	case event.TimerElection, event.TimerHeartbeat:
		if c.log != nil {
			out = c.log.Timer(at, id.Kind, out)
		}
	case event.TimerPropose:
		out = c.retry(at, out)
	case event.TimerTree:
		out = c.timerTree(at, out)
	case event.TimerLiveness:
		out = c.timerMember(at, out)
	case event.TimerLease:
		out = c.timerLease(at, out)
	case event.TimerRegistration:
		out = c.timerEnrol(at, out)
	case event.TimerUpstreamList:
		out = c.timerRoster(at, out)
	default:
		return out
	}
	return c.seal(from, c.moved(at, out))
}

// moved carries on after a part changed its state: it applies what the log
// committed and publishes the configuration when it has a new revision.
func (c *Control) moved(at time.Time, out []effect.Effect) []effect.Effect {
	out = c.advance(at, out)
	out = c.feedTree(at, out)
	if c.store.Revision() != c.published && !c.behind() && c.readyTree(at) {
		out = c.publish(at, out)
		out = c.changedTree(at, out)
	}
	out = c.observe(at, out)
	c.report(at)
	if c.draining && c.queue.idle() {
		c.draining = false
		out = append(out, effect.Drained{})
	}
	return out
}

// publish hands the configuration in force to the traffic states.
func (c *Control) publish(at time.Time, out []effect.Effect) []effect.Effect {
	c.published = c.store.Revision()
	topology := c.store.Topology()
	if c.log == nil {
		out = append(out, effect.Note{
			At: at, Subject: "configuration", Action: fmt.Sprintf("revision %d in force", c.published), Cause: "received",
		})
	}
	c.register(topology.VMs)
	out = c.views(at, topology, out)
	if c.holder != nil {
		c.changes = c.holder.Next(at)
	}
	return out
}

// disks lists the VMs that should replicate the log: those of the configuration
// in force or, before there is one, of the settings.
func (c *Control) disks() []model.VMID {
	vms := c.store.Topology().VMs
	if c.store.Revision() == 0 {
		vms = c.known()
	}
	var ids []model.VMID
	for _, id := range slices.Sorted(maps.Keys(vms)) {
		if vms[id].HasDisk && vms[id].State == model.StateActive {
			ids = append(ids, id)
		}
	}
	return ids
}

// known returns the VMs of the settings.
func (c *Control) known() map[model.VMID]model.VM {
	vms := make(map[model.VMID]model.VM)
	for _, vm := range c.start.Peers {
		vms[vm.ID] = vm
	}
	if c.start.InitialConfig != nil {
		maps.Copy(vms, c.start.InitialConfig.VMs)
	}
	return vms
}

// addr returns where a VM listens for its peers.
func (c *Control) addr(id model.VMID) netip.AddrPort {
	if vm, ok := c.store.VM(id); ok {
		return vm.PeerAddr
	}
	if vm, ok := c.known()[id]; ok {
		return vm.PeerAddr
	}
	return c.derived(id)
}

// genesis turns the settings' configuration into the first one of the log.
func genesis(t *model.Topology) entry.Config {
	var g entry.Config
	for _, id := range slices.Sorted(maps.Keys(t.Contracts)) {
		g.Contracts = append(g.Contracts, t.Contracts[id])
	}
	for _, id := range slices.Sorted(maps.Keys(t.Upstreams)) {
		g.Upstreams = append(g.Upstreams, t.Upstreams[id])
	}
	for _, id := range slices.Sorted(maps.Keys(t.VMs)) {
		g.VMs = append(g.VMs, t.VMs[id])
	}
	return g
}
