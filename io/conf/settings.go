package conf

import (
	"net/netip"
	"time"

	"comfreypulley/core/model"
)

// Settings are those of one entry VM.
type Settings struct {
	VM      model.VM
	Caller  netip.AddrPort
	Admin   netip.AddrPort
	Loops   int           // traffic loops
	Plain   bool          // plain baseline policy
	Seed    int           // of the random source; 0 takes one from the system
	Grace   time.Duration // unready before new requests are refused
	Finish  time.Duration // longest drain
	Data    string        // data folder; empty on a VM without a disk
	Fleet   string        // file with the first configuration
	Usage   string        // file of the usage log; empty writes none
	Cert    string        // TLS certificate of the peer and admin listeners; empty for plain TCP
	Key     string        // TLS key
	CA      string        // TLS authority that the other side's certificate must have
	Verbose bool          // log every decision
}

// Bounds and defaults of settings.
const (
	defaultGrace  = 2 * time.Second
	defaultFinish = 30 * time.Second
	maxLoops      = 64
)

// ReadSettings reads and checks a settings file. Errors are *FileError.
func ReadSettings(file string) (s *Settings, err error) {
	d, err := readDocument(file)
	if err != nil {
		return nil, err
	}
	return d.settings()
}

// ParseSettings reads and checks settings from memory.
func ParseSettings(file string, raw []byte) (s *Settings, err error) {
	d, err := parseDocument(file, raw)
	if err != nil {
		return nil, err
	}
	return d.settings()
}

func (d *document) settings() (s *Settings, err error) {
	s = &Settings{Loops: 1, Grace: defaultGrace, Finish: defaultFinish}
	var policy, id, zone string
	groups := map[string][]field{
		"vm": {
			{key: "id", required: true, set: textValue(&id)},
			{key: "zone", required: true, set: textValue(&zone)},
		},
		"caller": {
			{key: "listen", required: true, set: addrValue(&s.Caller)},
			{key: "grace", set: durationValue(&s.Grace, 0, time.Minute)},
			{key: "finish", set: durationValue(&s.Finish, 0, 10*time.Minute)},
		},
		"peer":  {{key: "listen", required: true, set: addrValue(&s.VM.PeerAddr)}},
		"admin": {{key: "listen", required: true, set: addrValue(&s.Admin)}},
		"traffic": {
			{key: "loops", set: intValue(&s.Loops, 1, maxLoops)},
			{key: "policy", set: choiceValue(&policy, "full", "plain")},
			{key: "seed", set: intValue(&s.Seed, 0, 1<<31-1)},
		},
		"data":  {{key: "folder", set: textValue(&s.Data)}},
		"fleet": {{key: "file", required: true, set: textValue(&s.Fleet)}},
		"usage": {{key: "file", set: textValue(&s.Usage)}},
		"tls": {
			{key: "cert", set: textValue(&s.Cert)},
			{key: "key", set: textValue(&s.Key)},
			{key: "ca", set: textValue(&s.CA)},
		},
		"log": {{key: "verbose", set: boolValue(&s.Verbose)}},
	}
	for _, section := range d.sections() {
		if _, ok := groups[section]; !ok {
			return nil, d.problem(section, "", "is not a known section")
		}
	}
	for _, section := range []string{"vm", "caller", "peer", "admin", "traffic", "data", "fleet", "usage", "tls", "log"} {
		if err := d.read(section, groups[section]); err != nil {
			return nil, err
		}
	}
	s.VM.ID, s.VM.Zone = model.VMID(id), model.Zone(zone)
	s.VM.HasDisk = s.Data != ""
	s.Plain = policy == "plain"
	return s, d.checkSettings(s)
}

func (d *document) checkSettings(s *Settings) error {
	switch {
	case s.Caller == s.VM.PeerAddr:
		return d.problem("peer", "listen", "is the same address as [caller] listen")
	case s.Caller == s.Admin:
		return d.problem("admin", "listen", "is the same address as [caller] listen")
	case s.Admin == s.VM.PeerAddr:
		return d.problem("admin", "listen", "is the same address as [peer] listen")
	case (s.Cert == "") != (s.Key == "") || (s.Cert == "") != (s.CA == ""):
		return d.problem("tls", "cert", "needs cert, key and ca together")
	}
	return nil
}
