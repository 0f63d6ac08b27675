package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"comfreypulley/core/model"
	"comfreypulley/core/soak"
)

// listServer serves the platform's list of upstreams.
type listServer struct {
	server   *http.Server
	listener net.Listener
	soak     *Soak
}

func (l *listServer) run() {
	if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
		l.soak.post(soak.HarnessFailed{Cause: err.Error()})
	}
}

// listUpstreams returns the upstreams that the list shows. It returns nil while the
// list is silent.
func (s *Soak) listUpstreams() []model.Upstream {
	state := s.listState.Load()
	if state.Silent {
		return nil
	}
	var list []model.Upstream
	for _, up := range s.upstreams {
		listed := up.listedIdentity.Load()
		u := model.Upstream{
			ID: model.UpstreamID(listed.id), Addr: up.proxy.Addr(), Zone: model.Zone(fmt.Sprintf("z%d", up.number%zones)),
			Index: listed.service, Slots: upstreamSlots,
		}
		for _, n := range state.Drained {
			if n == up.number {
				u.State = model.StateDraining
			}
		}
		list = append(list, u)
	}
	if len(state.Drained) > 0 {
		s.post(soak.DrainListed{Drained: state.Drained})
	}
	return list
}
