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

// Ports of a VM. They are below the ephemeral range.
const (
	controlPort = 8224
	callerPort  = 8226
	readyPort   = 8227
	peerPort    = 7740 // of the proxy that other VMs dial
	portionPort = 7741 // of the proxy that other VMs send portions to
	processPort = 7742 // of the process behind peerPort; the next port is behind portionPort
	metricsPort = 7749
)

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// incompleteRecord is the start of a log record, as a crash during its write leaves
// it.
var incompleteRecord = []byte{0x00, 0x00, 0x01, 0x20, 0x93}

// signals are the system's signals by kind.
var signals = map[soak.SignalKind]syscall.Signal{
	soak.Kill: syscall.SIGKILL, soak.Pause: syscall.SIGSTOP, soak.Resume: syscall.SIGCONT,
	soak.Stop: syscall.SIGTERM, soak.Reload: syscall.SIGHUP,
}

// vm is a VM: one process at a time, and the proxies in front of it.
type vm struct {
	soak         *Soak
	number       int
	site         serve.PlatformSettings
	settingsFile string
	logFile      string
	peerProxy    *fault.Proxy
	portionProxy *fault.Proxy  // nil unless it is an entry VM
	callerProxy  *fault.Proxy  // nil unless it is an entry VM
	cmd          *exec.Cmd     // nil before the first start
	exited       chan struct{} // closed when the process has ended
}

// ip returns a loopback address in a zone. The second and third byte differ
// between soak tests that run at the same time.
func (s *Soak) ip(zone, last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + s.number%250), zone + byte(s.number/250%80)*zones, last})
}

// newVM starts the proxies of a VM, but not its process.
func (s *Soak) newVM(n int, zone byte, hasDisk bool) (v *vm, err error) {
	ip := s.ip(zone, byte(n+1))
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }
	name := fmt.Sprintf("vm%d", n)
	v = &vm{
		soak: s, number: n, settingsFile: filepath.Join(s.Folder, name+".conf"), logFile: filepath.Join(s.Folder, name+".log"),
		site: serve.PlatformSettings{
			VM:             model.VM{ID: model.VMID(ip.String()), Zone: model.Zone(fmt.Sprintf("z%d", zone)), PeerAddr: at(peerPort), HasDisk: hasDisk},
			PeerListenAddr: at(processPort), MetricsAddr: at(metricsPort),
			ToleratedDiskLosses: toleratedDiskLosses, ShutdownGrace: shutdownGrace, RetryBudgetRatio: retryBudgetRatio, RetryBudgetExtra: retryBudgetExtra, RetryBudgetWindow: retryBudgetWindow,
			ChangeBound: soak.ApplyWithin,
		},
	}
	if v.peerProxy, err = s.startProxy(at(peerPort), v.site.PeerListenAddr, false); err != nil {
		return nil, err
	}
	if hasDisk {
		v.site.OperatorAddr, v.site.DataFolder = at(controlPort), filepath.Join(s.Folder, name+".data")
		return v, nil
	}
	v.site.CallerAddr, v.site.ReadyAddr = at(callerPort), at(readyPort)
	v.site.PortionAddr, v.site.MinShardsToDelegate = at(portionPort), minShardsToDelegate
	if v.portionProxy, err = s.startProxy(v.site.PortionAddr, at(processPort+1), false); err != nil {
		return nil, err
	}
	v.callerProxy, err = s.startProxy(anyPort, v.site.CallerAddr, false)
	return v, err
}

// startProcess prepares the disk and starts the process.
func (v *vm) startProcess(e soak.StartVM) (err error) {
	v.site.Bootstrap = e.FirstStart
	if err := v.prepareDisk(e); err != nil {
		return err
	}
	if err := os.WriteFile(v.settingsFile, []byte(v.soak.Platform.Settings(&v.site, v.soak.listAddr)), fileMode); err != nil {
		return err
	}
	out, err := os.OpenFile(v.logFile, os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, out.Close()) }() // the process has its own descriptor
	v.cmd = exec.Command(v.soak.Program, v.soak.Platform.Arguments(&v.site)...)
	v.cmd.Env = append(os.Environ(), v.soak.Platform.Environment(v.settingsFile))
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	w := &waiter{vm: v, cmd: v.cmd, exited: v.exited}
	go w.run()
	return nil
}

// prepareDisk empties the disk or appends an incomplete record, as the fault says.
func (v *vm) prepareDisk(e soak.StartVM) error {
	if e.WipeDisk {
		if err := os.RemoveAll(v.site.DataFolder); err != nil {
			return err
		}
	}
	if !e.TornWrite {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(v.site.DataFolder, disk.LogFile), os.O_WRONLY|os.O_APPEND, fileMode)
	if errors.Is(err, os.ErrNotExist) {
		return nil // the process was killed before it wrote anything
	}
	if err != nil {
		return err
	}
	_, err = f.Write(incompleteRecord)
	return errors.Join(err, f.Close())
}

// signal sends a signal to the process, unless it has ended.
func (v *vm) signal(e soak.Signal) error {
	select {
	case <-v.exited:
		return nil
	default:
	}
	if err := v.cmd.Process.Signal(signals[e.Kind]); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// kill kills the process, if any, and waits for its end.
func (v *vm) kill() error {
	if v.cmd == nil || v.cmd.Process == nil {
		return nil
	}
	err := v.signal(soak.Signal{Kind: soak.Kill})
	if v.exited != nil {
		<-v.exited
	}
	return err
}

// waiter waits for the end of a process and posts it.
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
	w.vm.soak.post(soak.ProcessExited{VM: w.vm.number, Cause: cause})
}
