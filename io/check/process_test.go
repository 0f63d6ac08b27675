package check

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
)

// process is a started subcommand. Its log lines are kept.
type process struct {
	t     *testing.T
	name  string
	cmd   *exec.Cmd
	ended chan struct{} // closed once it has ended

	mu    sync.Mutex
	lines []logLine
	other []string // lines of standard error that are not log lines
}

// logLine is one JSON line of a log.
type logLine struct {
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
}

// startProcess starts the program and ends it with the test.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(program, args...), ended: make(chan struct{})}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.run(stderr)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			p.dump()
		}
	})
	return p
}

// run keeps the log until the process ends.
func (p *process) run(stderr io.Reader) {
	defer close(p.ended)
	scanner := bufio.NewScanner(stderr)
	for scanner.Scan() {
		p.keep(scanner.Bytes())
	}
	// Its exit status is read from ProcessState.
	_ = p.cmd.Wait()
}

func (p *process) keep(raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var line logLine
	if json.Unmarshal(raw, &line) != nil {
		p.other = append(p.other, string(raw))
		return
	}
	p.lines = append(p.lines, line)
}

// dump writes the last lines of the log into the test's log.
func (p *process) dump() {
	const last = 10
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines[max(0, len(p.lines)-last):] {
		p.t.Logf("%s: %s %v", p.name, line.Message, line.Fields)
	}
	for _, line := range p.other[max(0, len(p.other)-last):] {
		p.t.Logf("%s: %s", p.name, line)
	}
}

// find returns the first log line with a message.
func (p *process) find(message string) (logLine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		if line.Message == message {
			return line, true
		}
	}
	return logLine{}, false
}

// addr waits for the log line that states an address.
func (p *process) addr(message string) netip.AddrPort {
	p.t.Helper()
	var line logLine
	eventually(p.t, p.name+" logs "+message, func() (ok bool) {
		line, ok = p.find(message)
		return ok || p.over()
	})
	addr, err := netip.ParseAddrPort(line.Fields["addr"])
	if err != nil {
		p.t.Fatalf("%s has not logged the address of %s: %v, %q", p.name, message, err, p.other)
	}
	return addr
}

// over reports whether the process has ended.
func (p *process) over() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("%s: %v", p.name, err)
	}
	<-p.ended
}

// terminate asks the process to shut down.
func (p *process) terminate() {
	p.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// exit waits for the end of the process and returns its status.
func (p *process) exit() int {
	p.t.Helper()
	eventually(p.t, p.name+" ends", p.over)
	return p.cmd.ProcessState.ExitCode()
}
