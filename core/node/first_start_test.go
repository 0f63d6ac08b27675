package node_test

import (
	"testing"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// stop kills the processes of a VM. Writes that are not synced are lost.
func (f *limitFleet) stop(id model.VMID) {
	f.vms[id].boot++
	f.vms[id].states = nil
}

// acknowledges reports whether a document that an operator sends through a VM is acknowledged
// within a time.
func (f *limitFleet) acknowledges(id model.VMID, within time.Duration) bool {
	f.results = make(map[uint64]entry.Result)
	command := entry.Change{Document: &model.Document{Version: 1}}
	for end := f.now.Add(within); f.now.Before(end); {
		f.post(id, f.vms[id].boot, event.RoleControl, event.OperatorCommand{Seq: 1, Command: command})
		f.run(100*time.Millisecond, 0)
		if f.results[1].Status == entry.StatusOK {
			return true
		}
	}
	return false
}

// Guards against a fleet that never starts since the processes of all control VMs are killed
// before the log has an entry: they are started again with their disks, but without the
// setting that the fleet is new.
func TestKillOfAllAtTheFirstStart(t *testing.T) {
	const restart = 700 * time.Millisecond
	for _, ms := range []int{5, 50, 100, 150, 300, 1000, 1900} {
		kill := time.Duration(ms) * time.Millisecond
		for _, c := range []struct {
			name  string
			kills int
			lost  bool // the first VM does not come back
		}{{name: "once", kills: 1}, {name: "twice", kills: 2}, {name: "with a lost VM", kills: 1, lost: true}} {
			f := newLimitFleet(3, 0, 0)
			f.disks = make(map[model.VMID]*event.DiskLoaded)
			ids := f.ids()
			for _, id := range ids { // newLimitFleet has started them on disks that do not last
				f.stop(id)
				f.vms[id].boot = 0
			}
			f.events = nil
			if c.lost {
				ids = ids[1:]
			}
			for range c.kills {
				for _, id := range ids {
					f.start(id)
				}
				f.run(kill, 0)
				for _, id := range ids {
					f.stop(id)
				}
				f.run(restart, 0)
			}
			for _, id := range ids {
				f.start(id)
			}
			if !f.acknowledges(ids[0], 12*time.Second) {
				t.Errorf("killed %s after %v: no change is acknowledged", c.name, kill)
			}
		}
	}
}
