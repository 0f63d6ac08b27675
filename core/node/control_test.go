package node_test

import (
	"testing"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
	"comfreypulley/core/node"
)

// Guards against events for the control state that do not reach it.
func TestControlEvents(t *testing.T) {
	var s node.State
	reduce := func(body event.Body) []effect.Effect {
		return s.Reduce(event.Event{At: startTime, Body: body}, nil)
	}
	vm := model.VM{ID: "vm0", Zone: "a"}
	out := reduce(event.Start{
		Role: event.RoleControl, VM: vm, Loops: 1, InitialConfig: &model.Topology{VMs: map[model.VMID]model.VM{"vm0": vm}},
	})
	if got := len(effectsOf[effect.ToTraffic](out)); got != 1 {
		t.Fatalf("got %d views at the start of a fleet without disks, want 1", got)
	}
	command := reduce(event.OperatorCommand{Seq: 1, Command: entry.Change{Remove: &entry.Removal{VM: "vm0"}, ExpectedRevision: 1}})
	if got := effectsOf[effect.AnswerOperator](command); len(got) != 1 || got[0].Seq != 1 || got[0].Result.Status != entry.StatusNoMajority {
		t.Errorf("command: got %+v, want majority", got)
	}
	status := reduce(event.StatusRequest{Seq: 2, Linearizable: true})
	if got := effectsOf[effect.AnswerOperator](status); len(got) != 1 || got[0].Seq != 2 || got[0].Status == nil {
		t.Errorf("status request: got %+v, want a status", got)
	}
	forward := reduce(event.PeerMessage{From: "vm1", Message: frame.ProposeRequest{Seq: 3, Command: entry.Noop{}}})
	if got := effectsOf[effect.SendMessage](forward); len(got) != 1 || got[0].To != "vm1" {
		t.Errorf("peer: got %+v, want an answer to vm1", got)
	}
	leaving := event.PlatformVMs{Leaving: []model.VMID{"vm1"}}
	if got := len(effectsOf[effect.Note](reduce(leaving))) + len(effectsOf[effect.Note](reduce(leaving))); got != 1 {
		t.Errorf("platform: got %d notes about two equal lists, want 1", got)
	}
	for _, body := range []event.Body{event.PeerDown{VM: "vm1"}, event.DiskLoaded{}, event.DiskSynced{}, event.DiskFailed{}} {
		if got := reduce(body); len(got) != 0 {
			t.Errorf("%T on a VM without a disk: got %+v, want nothing", body, got)
		}
	}
	if got := effectsOf[effect.Drained](reduce(event.Drain{})); len(got) != 1 {
		t.Errorf("drain: got %d, want 1", len(got))
	}
}
