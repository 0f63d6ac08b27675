package main

import (
	_ "embed"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed words.txt
var wordsText string

//go:embed settings.txt
var settingsText string

// words has the names of headers and variables of the platform.
var words = parseWords(wordsText)

func parseWords(text string) map[string]string {
	m := make(map[string]string)
	for line := range strings.Lines(text) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			m[name] = value
		}
	}
	return m
}

// Ports of every machine.
const (
	controlPort = 8224
	frontPort   = 8226
	readyPort   = 8227
	metricsPort = 9464
	peerPort    = 7740
	portionPort = 7741
	backendPort = 8080
	listPort    = 8229
)

// restartDelay is how long the platform waits before it starts a process again.
const restartDelay = 500 * time.Millisecond

var zones = []string{"east-a", "east-b", "east-c"}

// machine is one machine of the system and its process.
type machine struct {
	fleet   *fleet
	role    string
	ip      string
	zone    string
	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
	ended   int // processes that ended by themselves
	stopped bool
	done    chan struct{}
}

// fleet is the machines of the system.
type fleet struct {
	play      *play
	network   int // second byte of all addresses
	folder    string
	bootstrap bool
	listHost  int // how often the list has moved
	controls  []*machine
	entries   []*machine
}

// newFleet chooses a loopback network whose ports are free.
func newFleet(p *play, controls, entries int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	f := &fleet{play: p, folder: folder, bootstrap: true}
	p.fleet = f
	for n := range 200 {
		f.network = 20 + (os.Getpid()+n)%200
		f.controls, f.entries = nil, nil
		for i := range controls {
			f.controls = append(f.controls, f.newMachine("control", i, 10+i))
		}
		for i := range entries {
			f.entries = append(f.entries, f.newMachine("entry", i, 50+i))
		}
		if f.free() {
			return f, nil
		}
	}
	return nil, errors.New("no loopback network has free ports")
}

func (f *fleet) newMachine(role string, n, last int) *machine {
	zone := n % len(zones)
	return &machine{fleet: f, role: role, ip: fmt.Sprintf("127.%d.%d.%d", f.network, zone+1, last), zone: zones[zone], done: make(chan struct{})}
}

func (f *fleet) free() bool {
	for _, m := range f.all() {
		for _, port := range []int{controlPort, frontPort, readyPort, metricsPort, peerPort, portionPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) all() []*machine { return append(append([]*machine{}, f.controls...), f.entries...) }

func (f *fleet) listAddr() string {
	return fmt.Sprintf("127.%d.9.%d:%d", f.network, 9+f.listHost, listPort)
}

// start starts all processes.
func (f *fleet) start() error {
	for _, m := range f.all() {
		if err := m.start(); err != nil {
			return err
		}
		go m.watch()
	}
	f.bootstrap = false
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	for _, m := range f.all() {
		m.mu.Lock()
		m.stopped = true
		running := m.cmd != nil
		if running {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
		}
		m.mu.Unlock()
		if running {
			<-m.done
		}
	}
	_ = os.RemoveAll(f.folder)
}

// settings renders the settings file of a machine.
func (m *machine) settings() string {
	f := m.fleet
	var seeds []string
	for _, c := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	class, serves := "core", "control"
	listen := fmt.Sprintf("listen.control=%s:%d\ndata_dir=%s", m.ip, controlPort, filepath.Join(f.folder, m.ip, "data"))
	if m.role == "entry" {
		class, serves = "front", "front"
		listen = fmt.Sprintf("listen.front=%s:%d\nlisten.ready=%s:%d", m.ip, frontPort, m.ip, readyPort)
	}
	return strings.NewReplacer(
		"=NAME", "="+class+"-"+m.ip, "=ROLE", "="+m.role, "=CLASS", "="+class, "=SERVES", "="+serves, "=IP", "="+m.ip, "=ZONE", "="+m.zone,
		"LISTEN", listen, "=SEEDS", "="+strings.Join(seeds, ","), "=BOOTSTRAP", fmt.Sprintf("=%t", f.bootstrap), "=LIST", "="+f.listAddr(),
	).Replace(settingsText)
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	folder := filepath.Join(m.fleet.folder, m.ip)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return err
	}
	settings := filepath.Join(folder, "settings.conf")
	if err := os.WriteFile(settings, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(folder, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command("target/comfreypulley", "platform", m.role, "--metrics", "9464")
	cmd.Env = []string{words["boot"] + "=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + folder}
	cmd.Stdout, cmd.Stderr = output, output
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.started = cmd, time.Now()
	m.fleet.play.record.detail("%s %s started", m.role, m.ip)
	return nil
}

// reload writes the settings file anew and sends SIGHUP.
func (m *machine) reload() error {
	path := filepath.Join(m.fleet.folder, m.ip, "settings.conf")
	if err := os.WriteFile(path+".new", []byte(m.settings()), 0o600); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Signal(syscall.SIGHUP)
}

// watch starts the process again after it has ended, as the platform does.
func (m *machine) watch() {
	defer close(m.done)
	for {
		err := m.cmd.Wait()
		m.mu.Lock()
		stopped := m.stopped
		if !stopped {
			m.ended++
		}
		m.mu.Unlock()
		if stopped {
			return
		}
		m.fleet.play.record.line("%s %s ended by itself: %v: %s", m.role, m.ip, err, m.lastPanic())
		m.fleet.play.sleep(restartDelay)
		if m.fleet.play.ctx.Err() != nil || m.start() != nil {
			return
		}
		m.mu.Lock()
		stopped = m.stopped
		m.mu.Unlock()
		if stopped {
			return
		}
	}
}

// lastPanic returns the last message of a panic in the process's output.
func (m *machine) lastPanic() string {
	b, err := os.ReadFile(filepath.Join(m.fleet.folder, m.ip, "log"))
	if err != nil {
		return ""
	}
	text := string(b)
	i := strings.LastIndex(text, "panic: ")
	if i < 0 {
		return ""
	}
	line, _, _ := strings.Cut(text[i:], "\n")
	return line
}

// selfEnded returns the number of processes of the machine that ended by themselves.
func (m *machine) selfEnded() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}
