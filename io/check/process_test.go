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

// process is a running subcommand of the program. It keeps the log lines.
type process struct {
	t     *testing.T
	name  string
	cmd   *exec.Cmd
	ended chan struct{} // closed when it has ended

	mu         sync.Mutex
	lines      []logLine
	otherLines []string // lines of standard error that are not JSON
}

// logLine is one line of a JSON log.
type logLine struct {
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
}

// startProcess starts the program and kills it at the end of the test.
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
			p.logTail()
		}
	})
	return p
}

// run reads the log until the process ends.
func (p *process) run(stderr io.Reader) {
	defer close(p.ended)
	scanner := bufio.NewScanner(stderr)
	for scanner.Scan() {
		p.addLine(scanner.Bytes())
	}
	// waitExit reads the exit status from ProcessState.
	_ = p.cmd.Wait()
}

// addLine stores a line of standard error.
func (p *process) addLine(raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var line logLine
	if json.Unmarshal(raw, &line) != nil {
		p.otherLines = append(p.otherLines, string(raw))
		return
	}
	p.lines = append(p.lines, line)
}

// logTail copies the last log lines to the test's log.
func (p *process) logTail() {
	const last = 10
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines[max(0, len(p.lines)-last):] {
		p.t.Logf("%s: %s %v", p.name, line.Message, line.Fields)
	}
	for _, line := range p.otherLines[max(0, len(p.otherLines)-last):] {
		p.t.Logf("%s: %s", p.name, line)
	}
}

// findLine returns the first log line with a message.
func (p *process) findLine(message string) (logLine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		if line.Message == message {
			return line, true
		}
	}
	return logLine{}, false
}

// addr waits for the log line with a message and returns the address in it.
func (p *process) addr(message string) netip.AddrPort {
	p.t.Helper()
	var line logLine
	eventually(p.t, p.name+" logs "+message, func() (ok bool) {
		line, ok = p.findLine(message)
		return ok || p.hasEnded()
	})
	addr, err := netip.ParseAddrPort(line.Fields["addr"])
	if err != nil {
		p.t.Fatalf("%s did not log the address with message %q: %v, %q", p.name, message, err, p.otherLines)
	}
	return addr
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("%s: %v", p.name, err)
	}
	<-p.ended
}

// terminate asks the process to shut down gracefully.
func (p *process) terminate() {
	p.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// waitExit waits for the end of the process and returns its exit status.
func (p *process) waitExit() int {
	p.t.Helper()
	eventually(p.t, p.name+" ends", p.hasEnded)
	return p.cmd.ProcessState.ExitCode()
}
