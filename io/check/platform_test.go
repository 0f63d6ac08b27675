package check

import (
	"bufio"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/serve"
	"comfreypulley/platform"
)

// Guards against a process that is killed by SIGHUP, which announces changed
// settings, because it does not handle the signal yet while it reads its settings.
func TestHangupWhileStarting(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, "platform", "entry")
	cmd.Env = append(os.Environ(), platform.Emulator{}.Environment(settings))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	// The open returns when the process opens the file to read its settings.
	f, err := os.OpenFile(settings, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Error(err)
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	var exit *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &exit) || !exit.Exited() {
		t.Errorf("got %v, want an exit because of the missing settings", err)
	}
}

// Further ports of a VM. The port after the peers' accepts portions.
const (
	readyPortOffset   = 2 * portsPerVM
	metricsPortOffset = 2*portsPerVM + 1
)

// Guards against logs that are not written to standard output, where the platform
// collects them, and against counters that are not served at the port that the
// deploy file states.
func TestPlatformLogsToStandardOutput(t *testing.T) {
	f := &fleet{number: int(fleetCount.Add(1))}
	at := func(port int) netip.AddrPort { return f.address(0, port) }
	site := &serve.PlatformSettings{
		VM: model.VM{Zone: "a", PeerAddr: at(peerPortOffset)}, MetricsAddr: at(peerPortOffset), PeerListenAddr: at(peerPortOffset),
		CallerAddr: at(callerPortOffset), ReadyAddr: at(readyPortOffset), ToleratedDiskLosses: 1, ShutdownGrace: time.Second,
	}
	settings := filepath.Join(t.TempDir(), "settings")
	text := platform.Emulator{}.Settings(site, at(callerPortOffset))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	metrics := at(metricsPortOffset)
	cmd := exec.Command(program, "platform", "entry", "--metrics", strconv.Itoa(int(metrics.Port())))
	cmd.Env = append(os.Environ(), platform.Emulator{}.Environment(settings))
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	timer := time.AfterFunc(maxWait, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	scanner, got := bufio.NewScanner(out), ""
	for !strings.Contains(got, `"message":"started"`) && scanner.Scan() {
		got += scanner.Text() + "\n"
	}
	if !strings.Contains(got, `"message":"started"`) {
		t.Errorf("got %q on standard output, want the message started", got)
	}
	if r, err := http.Get("http://" + metrics.String() + "/debug/vars"); err != nil {
		t.Errorf("got no counters: %v", err)
	} else {
		var counters map[string]any
		if err := json.NewDecoder(r.Body).Decode(&counters); err != nil || counters["comfreypulley"] == nil {
			t.Errorf("got %d groups of counters and %v, want those of the program among them", len(counters), err)
		}
		r.Body.Close()
	}
	if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Error(err)
	}
	// The error says that the process was killed.
	_ = cmd.Wait()
}
