package check

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

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
	cmd.Env = append(os.Environ(), platform.Rig{}.Environment(settings))
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
