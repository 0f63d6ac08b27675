package relay

import (
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// Guards against a VM that looks for a configuration only among the seeds of its
// start, when all of them have been exchanged for other VMs since.
func TestChangedSeedsAreAsked(t *testing.T) {
	vm := func(id model.VMID) model.VM { return model.VM{ID: id, Zone: "a", HasDisk: id != "self"} }
	tree := &Tree{Store: &fakeStore{}, Peers: []model.VM{vm("self"), vm("gone")}}
	at := time.Unix(0, 0)
	tree.Start(at, vm("self"), at, nil)
	tree.SetPeers([]model.VM{vm("self"), vm("next")})
	asked := map[model.VMID]bool{}
	for range 10 {
		at = at.Add(time.Second)
		for _, e := range tree.HandleTimer(at, nil) {
			if m, ok := e.(effect.SendMessage); ok {
				asked[m.To] = true
			}
		}
	}
	if !asked["next"] || asked["gone"] {
		t.Errorf("got messages to %v, want them to the new seed only", asked)
	}
}
