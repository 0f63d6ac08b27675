package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports. All machines of a day use the same ones, as the pages say.
const (
	frontPort   = 8226
	readyPort   = 8227
	controlPort = 8224
	peerPort    = 7740
	lastPort    = 7755
	cloudPort   = 8229
	backendPort = 8080

	metricsPort = 9464 // of the command in the deploy file

	forwardedPort = 7742 // behind a forwarder on peerPort
)

// fleet is a small deployment: the project's processes on loopback addresses,
// and the platform's list, operator and log of events.
type fleet struct {
	binary  string
	root    string // of the repository
	folder  string // temporary
	prefix  string // first three bytes of all addresses
	record  *os.File
	started time.Time
	trouble bool
	cloud   net.Listener // of the platform's list

	maxFDs    int  // descriptors of an entry process, 0 for no limit of its own
	forwarded bool // forwarders stand on the internal ports

	mu       sync.Mutex
	machines []*machine
	listed   func() []map[string]any // entries of the platform's list
}

// machine is one machine with one process.
type machine struct {
	fleet     *fleet
	name      string
	role      string
	ip        string
	zone      string
	bootstrap bool
	cmd       *exec.Cmd
	done      chan struct{}
	stopping  bool
	ends      int // times that the process ended by itself
}

func newFleet() (*fleet, error) {
	root := os.Getenv("REPO")
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	f := &fleet{
		binary: filepath.Join(root, "target", "comfreypulley"), root: root, folder: folder, record: record,
		started: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
	}
	// A free block of loopback addresses.
	for n := range 400 {
		f.prefix = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n)%200, 1+n%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.9:%d", f.prefix, cloudPort)) // claims the block
		if err != nil {
			continue
		}
		if f.free() {
			f.cloud = l
			return f, nil
		}
		l.Close()
	}
	return nil, fmt.Errorf("no free block of loopback addresses")
}

// free reports whether all ports are free on addresses of the block.
func (f *fleet) free() bool {
	for _, port := range []int{frontPort, readyPort, controlPort, peerPort, peerPort + 1, forwardedPort, forwardedPort + 1, backendPort, metricsPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.9:%d", f.prefix, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// log writes a line to the record.
func (f *fleet) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(f.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = f.record.WriteString(line)
}

// addMachine adds a machine and starts its process.
func (f *fleet) addMachine(role, zone string, last int, bootstrap bool) *machine {
	m := &machine{fleet: f, role: role, zone: zone, ip: fmt.Sprintf("%s.%d", f.prefix, last), bootstrap: bootstrap}
	m.name = fmt.Sprintf("%s-%s-%d", role, zone, last)
	f.mu.Lock()
	f.machines = append(f.machines, m)
	f.mu.Unlock()
	return m
}

func (m *machine) settings() (string, error) {
	f := m.fleet
	class, serves := "front", "front"
	if m.role == "control" {
		class, serves = "core", "control"
	}
	var seeds []string
	for _, o := range f.machines {
		if o.role == "control" && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", o.ip, controlPort))
		}
	}
	data := filepath.Join(f.folder, m.name+"-data")
	if m.role == "control" {
		if err := os.MkdirAll(data, 0o700); err != nil {
			return "", err
		}
	}
	var b strings.Builder
	err := settingsTemplate.Execute(&b, map[string]any{
		"Name": m.name, "Role": m.role, "Class": class, "Serves": serves, "IP": m.ip, "Zone": m.zone, "DataDir": data,
		"ControlPort": controlPort, "FrontPort": frontPort, "ReadyPort": readyPort, "PeerPort": peerPort, "LastPort": lastPort,
		"Forwarded": f.forwarded, "ForwardedPort": forwardedPort, "Seeds": strings.Join(seeds, ","), "Bootstrap": m.bootstrap,
		"CloudIP": f.prefix + ".9", "CloudPort": cloudPort,
	})
	return b.String(), err
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	f := m.fleet
	path := filepath.Join(f.folder, m.name+".conf")
	settings, err := m.settings()
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "platform", m.role, "--metrics", strconv.Itoa(metricsPort))
	if f.maxFDs > 0 && m.role == "entry" {
		limited := []string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(f.maxFDs)}
		cmd = exec.Command("/bin/sh", append(limited, cmd.Args...)...)
	}
	cmd.Dir = f.root
	cmd.Env = []string{names["boot"] + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done, m.stopping = cmd, make(chan struct{}), false
	m.bootstrap = false
	f.log("process %s started at %s", m.name, m.ip)
	go func(done chan struct{}) {
		err := cmd.Wait()
		logFile.Close()
		f.mu.Lock()
		own := !m.stopping
		if own {
			m.ends++
		}
		f.mu.Unlock()
		if own {
			f.log("process %s ended by itself: %v", m.name, err)
		} else {
			f.log("process %s ended", m.name)
		}
		close(done)
	}(m.done)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.fleet.mu.Lock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.stopping = true
	}
	m.fleet.mu.Unlock()
	m.fleet.log("signal %v to %s", s, m.name)
	_ = m.cmd.Process.Signal(s)
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.cmd == nil {
			continue
		}
		select {
		case <-m.done:
		default:
			m.signal(syscall.SIGKILL)
			<-m.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
	f.record.Close()
}

// serveList serves the platform's list of instances, 50 on a page.
func (f *fleet) serveList() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		all := f.listed()
		f.mu.Unlock()
		from := 0
		fmt.Sscanf(r.URL.Query().Get("page_token"), "p-%d", &from)
		page := map[string]any{names["nextPage"]: nil}
		end := min(from+50, len(all))
		if end < len(all) {
			page[names["nextPage"]] = fmt.Sprintf("p-%d", end)
		}
		page["instances"] = all[min(from, end):end]
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(page)
	})
	go http.Serve(f.cloud, mux)
}

// put sends a manifest until a control process acknowledges it.
func (f *fleet) put(manifest []byte, within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(within)
	for n := 0; time.Now().Before(end); n++ {
		var controls []*machine
		for _, m := range f.machines {
			if m.role == "control" {
				controls = append(controls, m)
			}
		}
		m := controls[n%len(controls)]
		req, _ := http.NewRequest("PUT", fmt.Sprintf("http://%s:%d/config", m.ip, controlPort), bytes.NewReader(manifest))
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			f.log("operator: PUT to %s: %v", m.name, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		f.log("operator: PUT to %s: %d %s", m.name, resp.StatusCode, strings.TrimSpace(string(text)))
		if resp.StatusCode == 200 {
			return nil
		}
		if resp.StatusCode/100 == 4 {
			return fmt.Errorf("manifest refused with %d", resp.StatusCode)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("manifest not acknowledged")
}

// waitReady waits until the ready address of an entry machine answers 200.
func (f *fleet) waitReady(m *machine, within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort))
		if err == nil {
			resp.Body.Close()
			f.mu.Lock()
			ends := m.ends
			f.mu.Unlock()
			if ends > 0 {
				return fmt.Errorf("%s ended while it started", m.name)
			}
			if resp.StatusCode == 200 {
				f.log("process %s is ready", m.name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s not ready", m.name)
}

// answer is what a client saw of one request.
type answer struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int // 0: no complete answer
	stamp  string
	body   []byte
	header http.Header
	err    error
}

// clientConn is a client's kept connection.
type clientConn struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialFront(m *machine) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: c, r: bufio.NewReader(c)}, nil
}

// do sends one request and waits for its answer until the limit.
func (c *clientConn) do(method, host, path, id string, deadline time.Duration, body []byte) answer {
	a := answer{id: id, sent: time.Now()}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, names["id"], id, names["deadline"], deadline.Milliseconds())
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_ = c.conn.SetDeadline(a.sent.Add(deadline))
	defer func() { a.took = time.Since(a.sent) }()
	if _, a.err = c.conn.Write(b.Bytes()); a.err != nil {
		a.took = time.Since(a.sent)
		return a
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		a.err, a.took = err, time.Since(a.sent)
		return a
	}
	a.body, a.err = io.ReadAll(resp.Body)
	resp.Body.Close()
	a.took = time.Since(a.sent)
	a.header = resp.Header
	if a.err == nil {
		a.status, a.stamp = resp.StatusCode, resp.Header.Get(names["stamp"])
	}
	if resp.Close && a.err == nil {
		c.conn.Close()
		c.conn = nil
	}
	return a
}
