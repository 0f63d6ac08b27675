package cmds

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"comfreypulley/io/serve"
	"comfreypulley/platform"
)

// recordingProcess records the settings that it was given.
type recordingProcess struct{ reloads []*serve.PlatformSettings }

func (r *recordingProcess) Reload(cfg *serve.PlatformSettings) { r.reloads = append(r.reloads, cfg) }

func settingsText(seed, extra, front string) string {
	return fmt.Sprintf("ip=10.1.0.7\nzone=a\ninternal_ports=7740,7755\nlisten.front=%s\nlisten.ready=10.1.0.7:81\nseeds=%s\nbounds.retry_budget_extra=%s\n", front, seed, extra)
}

// Guards against a settings file whose changes wait for a restart, against one that
// is read while it is being written, and against a broken one that replaces the
// settings in force.
func TestSettingsWatcher(t *testing.T) {
	const (
		front = "10.1.0.7:80"
		seed  = "10.1.0.8:90"
	)
	path := filepath.Join(t.TempDir(), "settings")
	t.Setenv(platform.SettingsPathVariable, path)
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(settingsText(seed, "10", front))
	inForce, err := platform.ReadSettings()
	if err != nil {
		t.Fatal(err)
	}
	lines, process := memory.New(), &recordingProcess{}
	c := &platformCommand{Role: platform.VMRoleEntry}
	w := &settingsWatcher{logger: &log.Logger{Handler: lines, Level: log.InfoLevel}, inForce: inForce, seen: inForce, config: c.config, process: process}

	steps := []struct {
		name      string
		text      string
		signalled bool
		reloads   int    // so far
		log       string // of the last line; empty when no line is added
	}{
		{"unchanged", settingsText(seed, "10", front), true, 0, ""},
		{"changed, first read", settingsText(seed, "20", front), false, 0, ""},
		{"changed, second read", settingsText(seed, "20", front), false, 1, "settings changed bounds.retry_budget_extra"},
		{"applied before", settingsText(seed, "20", front), true, 1, ""},
		{"signalled", settingsText("10.1.0.9:90", "20", front), true, 2, "settings changed seeds"},
		{"incomplete", "ip=10.1.0.7\nzone=a\n", true, 2, "settings file is not valid"},
		{"incomplete, again", "ip=10.1.0.7\nzone=a\n", true, 2, ""},
		{"broken", settingsText(seed, "x", front), true, 2, "settings file is not valid"},
		{"address", settingsText("10.1.0.9:90", "20", "10.1.0.7:88"), true, 3, "settings changed  listen.front"},
	}
	for _, s := range steps {
		write(s.text)
		before := len(lines.Entries)
		w.read(s.signalled)
		if got := len(process.reloads); got != s.reloads {
			t.Errorf("%s: got %d reloads, want %d", s.name, got, s.reloads)
		}
		got := ""
		if len(lines.Entries) > before {
			last := lines.Entries[len(lines.Entries)-1]
			got = strings.TrimSpace(fmt.Sprintf("%s %v %v", last.Message, field(last, "applied"), field(last, "deferred")))
		}
		if s.log == "" && got != "" || !strings.HasPrefix(got, s.log) {
			t.Errorf("%s: got log line %q, want %q", s.name, got, s.log)
		}
	}
	if got, want := process.reloads[0].RetryBudgetExtra, 20; got != want {
		t.Errorf("got retry budget %d, want %d", got, want)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	before := len(lines.Entries)
	w.read(true)
	w.read(false)
	if got := len(lines.Entries) - before; got != 1 {
		t.Errorf("got %d log lines about a missing file, want 1", got)
	}
}

func field(e *log.Entry, name string) any {
	if v, ok := e.Fields[name]; ok {
		return v
	}
	return ""
}
