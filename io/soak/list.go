package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"comfreypulley/core/model"
	"comfreypulley/core/soak"
)

// listServer serves the list of upstreams.
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

// list returns what the list of upstreams shows, nil when it is silent.
func (s *Soak) list() []model.Upstream {
	roster := s.roster.Load()
	if roster.Silent {
		return nil
	}
	var list []model.Upstream
	for _, h := range s.hosts {
		known := h.listed.Load()
		u := model.Upstream{
			ID: model.UpstreamID(known.id), Addr: h.proxy.Addr(), Zone: model.Zone(fmt.Sprintf("z%d", h.number%zones)),
			Index: known.service, Slots: hostSlots,
		}
		for _, n := range roster.Drained {
			if n == h.number {
				u.State = model.StateDraining
			}
		}
		list = append(list, u)
	}
	if len(roster.Drained) > 0 {
		s.post(soak.DrainListed{Drained: roster.Drained})
	}
	return list
}
