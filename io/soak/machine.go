package soak

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"comfreypulley/core/model"
	"comfreypulley/core/soak"
	"comfreypulley/io/disk"
	"comfreypulley/io/fault"
	"comfreypulley/io/serve"
)

// Ports of a VM. They lie below those that the system gives to connections.
const (
	controlPort = 8224
	callerPort  = 8226
	readyPort   = 8227
	peerPort    = 7740 // of the proxy that other VMs dial
	gatherPort  = 7741 // of the proxy to which other VMs send portions
	listenPort  = 7742 // of the process behind them, and the next one
	metricsPort = 7749
)

const (
	freshMode = 0o700
	textMode  = 0o600
)

// torn is the begin of a record that a crash has cut short.
var torn = []byte{0x00, 0x00, 0x01, 0x20, 0x93}

// signals are the system's names of signals.
var signals = map[soak.Sign]syscall.Signal{
	soak.Kill: syscall.SIGKILL, soak.Pause: syscall.SIGSTOP, soak.Resume: syscall.SIGCONT,
	soak.Stop: syscall.SIGTERM, soak.Reload: syscall.SIGHUP,
}

// machine is a VM: one process at a time, and the proxies before it.
type machine struct {
	soak    *Soak
	number  int
	site    serve.Site
	file    string // settings
	log     string
	peers   *fault.Proxy
	gathers *fault.Proxy // nil before a VM that takes no callers
	callers *fault.Proxy // nil before a VM that takes no callers
	cmd     *exec.Cmd    // nil before the first start
	exited  chan struct{}
}

// ip returns a loopback address of a zone. The second and third byte differ
// between soaks that run at the same time.
func (s *Soak) ip(zone, last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + s.number%250), zone + byte(s.number/250%80)*Zones, last})
}

// newMachine opens the proxies of a VM.
func (s *Soak) newMachine(n int, zone byte, control bool) (m *machine, err error) {
	ip := s.ip(zone, byte(n+1))
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }
	name := fmt.Sprintf("vm%d", n)
	m = &machine{
		soak: s, number: n, file: filepath.Join(s.Folder, name+".conf"), log: filepath.Join(s.Folder, name+".log"),
		site: serve.Site{
			VM:      model.VM{ID: model.VMID(ip.String()), Zone: model.Zone(fmt.Sprintf("z%d", zone)), Peer: at(peerPort), Disk: control},
			Peering: at(listenPort), Metrics: at(metricsPort), Losses: losses, Grace: grace, Ratio: ratio, Extra: extra,
		},
	}
	if m.peers, err = s.open(at(peerPort), m.site.Peering); err != nil {
		return nil, err
	}
	if control {
		m.site.Control, m.site.Data = at(controlPort), filepath.Join(s.Folder, name+".data")
		return m, nil
	}
	m.site.Callers, m.site.Ready = at(callerPort), at(readyPort)
	m.site.Gathers, m.site.Spread = at(gatherPort), spread
	if m.gathers, err = s.open(m.site.Gathers, at(listenPort+1)); err != nil {
		return nil, err
	}
	m.callers, err = s.open(anyPort, m.site.Callers)
	return m, err
}

// spawn starts the process.
func (m *machine) spawn(e soak.Spawn) (err error) {
	m.site.Founding = e.First
	if err := m.prepare(e); err != nil {
		return err
	}
	if err := os.WriteFile(m.file, []byte(m.soak.Rig.Settings(&m.site, m.soak.lister)), textMode); err != nil {
		return err
	}
	out, err := os.OpenFile(m.log, os.O_WRONLY|os.O_CREATE|os.O_APPEND, textMode)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, out.Close()) }() // the process has its own descriptor
	m.cmd = exec.Command(m.soak.Program, m.soak.Rig.Arguments(&m.site)...)
	m.cmd.Env = append(os.Environ(), m.soak.Rig.Environment(m.file))
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	w := &waiter{machine: m, cmd: m.cmd, exited: m.exited}
	go w.run()
	return nil
}

// prepare leaves the disk as the fault says.
func (m *machine) prepare(e soak.Spawn) error {
	if e.Wipe {
		if err := os.RemoveAll(m.site.Data); err != nil {
			return err
		}
	}
	if !e.Tear {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(m.site.Data, disk.LogFile), os.O_WRONLY|os.O_APPEND, textMode)
	if errors.Is(err, os.ErrNotExist) {
		return nil // the process was killed before it wrote anything
	}
	if err != nil {
		return err
	}
	_, err = f.Write(torn)
	return errors.Join(err, f.Close())
}

// signal sends a signal to the process, unless it has ended.
func (m *machine) signal(e soak.Signal) error {
	select {
	case <-m.exited:
		return nil
	default:
	}
	if err := m.cmd.Process.Signal(signals[e.Sign]); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// end kills the process and waits for its end.
func (m *machine) end() error {
	if m.cmd == nil || m.cmd.Process == nil {
		return nil
	}
	err := m.signal(soak.Signal{Sign: soak.Kill})
	if m.exited != nil {
		<-m.exited
	}
	return err
}

// waiter waits for the end of a process.
type waiter struct {
	machine *machine
	cmd     *exec.Cmd
	exited  chan struct{}
}

func (w *waiter) run() {
	cause := ""
	if err := w.cmd.Wait(); err != nil {
		cause = err.Error()
	}
	close(w.exited)
	w.machine.soak.post(soak.Exited{VM: w.machine.number, Cause: cause})
}
