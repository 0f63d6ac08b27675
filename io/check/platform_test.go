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

// Guards against a process that a changed settings file ends while it starts: a
// hangup that nobody takes kills it.
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
	// The open returns once the process reads its settings.
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
		t.Errorf("got end %v, want an exit for want of settings", err)
	}
}

// Free ports: portions are taken on the port after the peers'.
const (
	readyPort   = 2 * portsPerVM
	metricsPort = 2*portsPerVM + 1
)

// Guards against logs that go elsewhere than to standard output, where the
// platform collects them, and against counters that are not at the address which
// the deploy file states.
func TestPlatformLogsToStandardOutput(t *testing.T) {
	w := &world{number: int(worlds.Add(1))}
	at := func(port int) netip.AddrPort { return w.address(0, port) }
	site := &serve.PlatformSettings{
		VM: model.VM{Zone: "a", PeerAddr: at(peerPort)}, MetricsAddr: at(peerPort), PeerListenAddr: at(peerPort),
		CallerAddr: at(callerPort), ReadyAddr: at(readyPort), ToleratedDiskLosses: 1, ShutdownGrace: time.Second,
	}
	settings := filepath.Join(t.TempDir(), "settings")
	text := platform.Emulator{}.Settings(site, at(callerPort))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	metrics := at(metricsPort)
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
		t.Errorf("got %q on standard output, want a line of the start", got)
	}
	if r, err := http.Get("http://" + metrics.String() + "/debug/vars"); err != nil {
		t.Errorf("got no counters: %v", err)
	} else {
		var counters map[string]any
		if err := json.NewDecoder(r.Body).Decode(&counters); err != nil || counters["comfreypulley"] == nil {
			t.Errorf("got %d groups of counters, %v, want those of the program among them", len(counters), err)
		}
		r.Body.Close()
	}
	if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Error(err)
	}
	// Killed as it should be.
	_ = cmd.Wait()
}
