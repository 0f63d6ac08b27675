package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// How requests are held that come just after the start of the process. A caller
// whose second try is refused, too, gives up, and after a restart of all VMs it
// takes most of a second until one can be served.
const (
	earlyShare = 0.4 // of the caller's time, so that a refused one can still try another VM
	mostEarly  = 512
)

// early is a request that waits for a document and a list of upstreams.
type early struct {
	event   event.ProxyRequest
	arrived time.Time
}

// await holds a request until this VM can serve, or refuses it.
func (t *Table) await(at time.Time, e event.ProxyRequest, out []effect.Effect) []effect.Effect {
	if e.Portion != nil || e.Wait <= 0 || t.draining || len(t.early) >= mostEarly {
		return t.refuseEarly(e, nil, model.RefusedStale, out)
	}
	if t.early == nil {
		t.early = make(map[model.RequestID]early)
	}
	t.early[e.ID] = early{event: e, arrived: at}
	until := at.Add(time.Duration(earlyShare * float64(e.Wait)))
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerProxyRequest, N: uint64(e.ID)}, At: until})
}

// expire refuses a request that was held for too long.
func (t *Table) expire(w early, out []effect.Effect) []effect.Effect {
	delete(t.early, w.event.ID)
	return t.refuseEarly(w.event, nil, model.RefusedStale, out)
}

// admit takes the requests that were held, in the order of their arrival.
func (t *Table) admit(at time.Time, out []effect.Effect) []effect.Effect {
	for _, w := range t.waiting() {
		delete(t.early, w.event.ID)
		out = append(out, effect.StopTimer{ID: event.TimerID{Kind: event.TimerProxyRequest, N: uint64(w.event.ID)}})
		w.event.Wait -= at.Sub(w.arrived)
		out = t.Call(at, w.event, out)
	}
	return out
}

// waiting returns the requests that are held, in the order of their arrival.
func (t *Table) waiting() []early {
	return slices.SortedFunc(maps.Values(t.early), func(a, b early) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.event.ID, b.event.ID))
	})
}
