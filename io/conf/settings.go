package conf

import (
	"net/netip"
	"time"

	"comfreypulley/core/model"
)

// Settings are the settings of one VM.
type Settings struct {
	VM           model.VM
	CallerAddr   netip.AddrPort // listener for callers' requests
	AdminAddr    netip.AddrPort // listener of the operators' API
	Loops        int            // number of traffic loops
	Baseline     bool           // simple policy for comparisons, as in event.Start
	Seed         int            // seed of the random sources; 0 means one taken from the clock
	DrainDelay   time.Duration  // time between reporting the VM as not ready and refusing new requests
	DrainTimeout time.Duration  // longest time to finish the requests in flight
	DataFolder   string         // data folder; empty on a VM without a disk
	FleetFile    string         // file with the first configuration of the fleet
	UsageFile    string         // file of the usage log; empty for none
	CertFile     string         // PEM file with the TLS certificate for peer and admin connections; empty for plain TCP
	KeyFile      string         // PEM file with the certificate's private key
	CAFile       string         // PEM file with the authority that must have signed the other side's certificate
	Verbose      bool           // log every refused request
}

// Bounds and defaults of settings.
const (
	defaultDrainDelay   = 2 * time.Second
	defaultDrainTimeout = 30 * time.Second
	maxLoops            = 64
)

// ReadSettings reads and validates a settings file. An invalid file gives a
// *FileError.
func ReadSettings(file string) (s *Settings, err error) {
	f, err := readINI(file)
	if err != nil {
		return nil, err
	}
	return f.settings()
}

// ParseSettings is like ReadSettings, but parses raw. The name of the file only
// appears in errors.
func ParseSettings(file string, raw []byte) (s *Settings, err error) {
	f, err := parseINI(file, raw)
	if err != nil {
		return nil, err
	}
	return f.settings()
}

// settings returns the settings that the file contains.
func (f *iniFile) settings() (s *Settings, err error) {
	s = &Settings{Loops: 1, DrainDelay: defaultDrainDelay, DrainTimeout: defaultDrainTimeout}
	var policy, id, zone string
	sections := map[string][]setting{
		"vm": {
			{key: "id", required: true, parse: parseText(&id)},
			{key: "zone", required: true, parse: parseText(&zone)},
		},
		"caller": {
			{key: "listen", required: true, parse: parseAddr(&s.CallerAddr)},
			{key: "grace", parse: parseDuration(&s.DrainDelay, 0, time.Minute)},
			{key: "finish", parse: parseDuration(&s.DrainTimeout, 0, 10*time.Minute)},
		},
		"peer":  {{key: "listen", required: true, parse: parseAddr(&s.VM.PeerAddr)}},
		"admin": {{key: "listen", required: true, parse: parseAddr(&s.AdminAddr)}},
		"traffic": {
			{key: "loops", parse: parseInt(&s.Loops, 1, maxLoops)},
			{key: "policy", parse: parseChoice(&policy, "full", "plain")},
			{key: "seed", parse: parseInt(&s.Seed, 0, 1<<31-1)},
		},
		"data":  {{key: "folder", parse: parseText(&s.DataFolder)}},
		"fleet": {{key: "file", required: true, parse: parseText(&s.FleetFile)}},
		"usage": {{key: "file", parse: parseText(&s.UsageFile)}},
		"tls": {
			{key: "cert", parse: parseText(&s.CertFile)},
			{key: "key", parse: parseText(&s.KeyFile)},
			{key: "ca", parse: parseText(&s.CAFile)},
		},
		"log": {{key: "verbose", parse: parseBool(&s.Verbose)}},
	}
	for _, section := range f.sections() {
		if _, ok := sections[section]; !ok {
			return nil, f.errorAt(section, "", "is not a known section")
		}
	}
	for _, section := range []string{"vm", "caller", "peer", "admin", "traffic", "data", "fleet", "usage", "tls", "log"} {
		if err := f.readSection(section, sections[section]); err != nil {
			return nil, err
		}
	}
	s.VM.ID, s.VM.Zone = model.VMID(id), model.Zone(zone)
	s.VM.HasDisk = s.DataFolder != ""
	s.Baseline = policy == "plain"
	return s, f.checkSettings(s)
}

// checkSettings fails for settings that contradict each other.
func (f *iniFile) checkSettings(s *Settings) error {
	switch {
	case s.CallerAddr == s.VM.PeerAddr:
		return f.errorAt("peer", "listen", "is the same address as [caller] listen")
	case s.CallerAddr == s.AdminAddr:
		return f.errorAt("admin", "listen", "is the same address as [caller] listen")
	case s.AdminAddr == s.VM.PeerAddr:
		return f.errorAt("admin", "listen", "is the same address as [peer] listen")
	case (s.CertFile == "") != (s.KeyFile == "") || (s.CertFile == "") != (s.CAFile == ""):
		return f.errorAt("tls", "cert", "needs cert, key and ca together")
	}
	return nil
}
