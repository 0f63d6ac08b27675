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

// vm is a VM: one process at a time, and the proxies before it.
type vm struct {
	soak    *Soak
	number  int
	site    serve.PlatformSettings
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
	return netip.AddrFrom4([4]byte{127, byte(1 + s.number%250), zone + byte(s.number/250%80)*zones, last})
}

// newVM opens the proxies of a VM.
func (s *Soak) newVM(n int, zone byte, control bool) (v *vm, err error) {
	ip := s.ip(zone, byte(n+1))
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }
	name := fmt.Sprintf("vm%d", n)
	v = &vm{
		soak: s, number: n, file: filepath.Join(s.Folder, name+".conf"), log: filepath.Join(s.Folder, name+".log"),
		site: serve.PlatformSettings{
			VM:             model.VM{ID: model.VMID(ip.String()), Zone: model.Zone(fmt.Sprintf("z%d", zone)), PeerAddr: at(peerPort), HasDisk: control},
			PeerListenAddr: at(listenPort), MetricsAddr: at(metricsPort), ToleratedDiskLosses: losses, ShutdownGrace: grace, RetryBudgetRatio: ratio, RetryBudgetExtra: extra, RetryBudgetWindow: window,
		},
	}
	if v.peers, err = s.open(at(peerPort), v.site.PeerListenAddr); err != nil {
		return nil, err
	}
	if control {
		v.site.OperatorAddr, v.site.DataFolder = at(controlPort), filepath.Join(s.Folder, name+".data")
		return v, nil
	}
	v.site.CallerAddr, v.site.ReadyAddr = at(callerPort), at(readyPort)
	v.site.PortionAddr, v.site.MinShardsToDelegate = at(gatherPort), spread
	if v.gathers, err = s.open(v.site.PortionAddr, at(listenPort+1)); err != nil {
		return nil, err
	}
	v.callers, err = s.open(anyPort, v.site.CallerAddr)
	return v, err
}

// spawn starts the process.
func (v *vm) spawn(e soak.Spawn) (err error) {
	v.site.Bootstrap = e.First
	if err := v.prepare(e); err != nil {
		return err
	}
	if err := os.WriteFile(v.file, []byte(v.soak.Rig.Settings(&v.site, v.soak.lister)), textMode); err != nil {
		return err
	}
	out, err := os.OpenFile(v.log, os.O_WRONLY|os.O_CREATE|os.O_APPEND, textMode)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, out.Close()) }() // the process has its own descriptor
	v.cmd = exec.Command(v.soak.Program, v.soak.Rig.Arguments(&v.site)...)
	v.cmd.Env = append(os.Environ(), v.soak.Rig.Environment(v.file))
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	w := &waiter{vm: v, cmd: v.cmd, exited: v.exited}
	go w.run()
	return nil
}

// prepare leaves the disk as the fault says.
func (v *vm) prepare(e soak.Spawn) error {
	if e.Wipe {
		if err := os.RemoveAll(v.site.DataFolder); err != nil {
			return err
		}
	}
	if !e.Tear {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(v.site.DataFolder, disk.LogFile), os.O_WRONLY|os.O_APPEND, textMode)
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
func (v *vm) signal(e soak.Signal) error {
	select {
	case <-v.exited:
		return nil
	default:
	}
	if err := v.cmd.Process.Signal(signals[e.Sign]); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// end kills the process and waits for its end.
func (v *vm) end() error {
	if v.cmd == nil || v.cmd.Process == nil {
		return nil
	}
	err := v.signal(soak.Signal{Sign: soak.Kill})
	if v.exited != nil {
		<-v.exited
	}
	return err
}

// waiter waits for the end of a process.
type waiter struct {
	vm     *vm
	cmd    *exec.Cmd
	exited chan struct{}
}

func (w *waiter) run() {
	cause := ""
	if err := w.cmd.Wait(); err != nil {
		cause = err.Error()
	}
	close(w.exited)
	w.vm.soak.post(soak.Exited{VM: w.vm.number, Cause: cause})
}
