package plane

import (
	"time"

	"comfreypulley/core/entry"
)

// foundingPeriod is how long the first change waits for voters after the first
// configuration is known. VMs register within two seconds of that, since they all start
// within a second and the log begins after the first of them; those that have not by then
// count as lost.
const foundingPeriod = 4 * time.Second

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
