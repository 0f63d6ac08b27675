package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// foundingPeriod is how long the first change waits for voters after the first
// configuration is known. VMs register within two seconds of that, since they all start
// within a second and the log begins after the first of them; those that have not by then
// count as lost.
const foundingPeriod = 4 * time.Second

// keepFounders makes the right to found the log last as long as the disk. Only the first
// start of a fleet has the first configuration in its settings, and a process that is
// killed before the log has an entry is restarted without it. A VM that lost its disk has
// lost the right as well, so it cannot help to found a second log.
func (c *Control) keepFounders(loaded event.DiskLoaded, out []effect.Effect) []effect.Effect {
	if !c.settings.SelfRegistration {
		return out // the settings name the first configuration at every start
	}
	if len(loaded.Founders) > 0 {
		c.settings.InitialConfig = &model.Topology{VMs: make(map[model.VMID]model.VM, len(loaded.Founders))}
		for _, vm := range loaded.Founders {
			c.settings.InitialConfig.VMs[vm.ID] = vm
		}
		return out
	}
	if c.settings.InitialConfig == nil || loaded.Image.Index > 0 || len(loaded.Entries) > 0 {
		return out
	}
	if _, ok := c.settings.InitialConfig.VMs[c.settings.VM.ID]; !ok {
		return out
	}
	return append(out, effect.SaveFounders{VMs: initialConfig(c.settings.InitialConfig).VMs})
}

// awaitsVoters reports whether a change has to wait until more VMs replicate the log. The
// first voters are those that the settings name, which may be too few: a change that
// they acknowledge is lost with as many disks as the settings say may be lost at once.
// Only the first change waits, since later on VMs are removed only while enough remain.
func (c *Control) awaitsVoters(at time.Time, command entry.Command) bool {
	change, ok := command.(entry.Change)
	if !ok || change.VM != nil || change.Remove != nil || change.InitialConfig != nil {
		return false
	}
	if !c.settings.SelfRegistration || c.log == nil || c.store.HasOperatorChange() {
		return false
	}
	if c.store.Revision() == 0 {
		return c.leading() // a newcomer does not know how old the log is; the leader does
	}
	voters := 0
	for _, r := range c.applied.members.Voters {
		if r.Disk != 0 {
			voters++
		}
	}
	return voters < 2*c.settings.ToleratedDiskLosses+1 && at.Before(c.configuredAt.Add(foundingPeriod))
}
