package proxy_test

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/loop"
	"comfreypulley/io/proxy"
)

// executor carries out the effects of a traffic loop, as io/serve does.
type executor struct {
	client *proxy.Client
	server *proxy.Server
}

func (x *executor) Execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.Forward:
		x.client.Forward(e)
	case effect.Cancel:
		x.client.Cancel(e)
	case effect.SendResponse:
		x.server.Respond(e.Request, e)
	case effect.SendMergedResponse:
		x.server.Respond(e.Request, e)
	case effect.Refuse:
		x.server.Respond(e.Refusal.Request, e)
	}
}

// fixedUpstream is an upstream that answers every request with the same bytes.
type fixedUpstream struct{ net.Listener }

func (c *fixedUpstream) run() {
	for {
		conn, err := c.Accept()
		if err != nil {
			return
		}
		s := &fixedUpstreamConn{conn: conn}
		go s.run()
	}
}

type fixedUpstreamConn struct{ conn net.Conn }

func (s *fixedUpstreamConn) run() {
	defer s.conn.Close()
	answer := []byte("HTTP/1.1 200 OK\r\nReceipt: r\r\nLoad: 1,0,4\r\nKeep-Alive: timeout=10\r\nContent-Length: 160\r\n\r\n" +
		string(bytes.Repeat([]byte("x"), 160)))
	r := bufio.NewReader(s.conn)
	for {
		for {
			line, err := r.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) <= 2 {
				break
			}
		}
		if _, err := s.conn.Write(answer); err != nil {
			return
		}
	}
}

// BenchmarkScatter measures the CPU time and allocations of one request over 36
// shards, from the caller's connection through the loop to the upstreams and
// back. CPU time is scarce on small VMs.
func BenchmarkScatter(b *testing.B) {
	const shards = 36
	names := &proxy.HeaderNames{
		RequestID: "Tag", Wait: "Wait", Receipt: "Receipt", ExpectedUpstream: "Expect-Upstream", NotRun: "Not-Run", Load: "Load",
		Receipts: "Receipts", MissingShards: "Missing",
	}
	e := &executor{}
	l := loop.New(e)
	e.server = &proxy.Server{HeaderNames: names, Post: l.Post}
	e.client = &proxy.Client{HeaderNames: names, Post: l.Post, CallerRequest: e.server.CallerRequest}
	runner := &loopRunner{loop: l}
	go runner.run()
	defer l.Stop(nil)
	defer e.client.Close()
	route := model.Route{
		Name: "all", Host: "a.example", PathPrefix: "/q/", Timeout: 5 * time.Second, TargetLatency: 2 * time.Second, TopK: 20,
		MaxAttempts: 1, MinCoverage: 1,
	}
	document := &model.Document{Version: 1}
	var upstreams []model.Upstream
	for n := range shards {
		service := "s" + string(rune('A'+n))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer listener.Close()
		c := &fixedUpstream{listener}
		go c.run()
		route.Shards = append(route.Shards, service)
		document.Services = append(document.Services, model.Service{Name: service, MaxConns: 100})
		upstreams = append(upstreams, model.Upstream{
			ID: model.UpstreamID(service), Addr: listener.Addr().(*net.TCPAddr).AddrPort(), Index: service, Slots: 4, Zone: "a",
		})
	}
	document.Routes = []model.Route{route}
	l.Post(event.View{Topology: &model.Topology{Document: document}})
	l.Post(event.UpstreamList{Upstreams: upstreams, ReadAt: time.Now()})
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: e.server, ReadHeaderTimeout: time.Second}
	f := &serverRunner{server: server, listener: front}
	go f.run()
	defer server.Close()
	url := "http://" + netip.MustParseAddrPort(front.Addr().String()).String() + "/q/1"
	b.ReportAllocs()
	for b.Loop() {
		r, _ := http.NewRequest(http.MethodGet, url, http.NoBody)
		r.Host = "a.example"
		r.Header.Set("Wait", "4000")
		r.Header.Set("Tag", "9c41d07be2a35f68")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatalf("got status %d", response.StatusCode)
		}
	}
}

type loopRunner struct{ loop *loop.Loop }

func (w *loopRunner) run() {
	_ = w.loop.Run(event.Start{Role: event.RoleProxy, VM: model.VM{Zone: "a"}})
}

type serverRunner struct {
	server   *http.Server
	listener net.Listener
}

func (f *serverRunner) run() { _ = f.server.Serve(f.listener) }
