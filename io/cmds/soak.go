package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"comfreypulley/core/soak"
	iosoak "comfreypulley/io/soak"
	"comfreypulley/platform"
)

// soakCommand runs a fleet of platform processes under random faults and reports
// violated guarantees.
type soakCommand struct {
	Seed   uint64        `default:"1" help:"Seed of the faults and of the traffic."`
	For    time.Duration `default:"20s" help:"Time with faults. Start, recovery and the last reads take 21 s more."`
	Folder string        `placeholder:"DIR" help:"Folder for settings, data and logs; a temporary one by default. It is kept when a promise is broken, or when it existed before."`
	Keep   bool          `help:"Keep the folder in any case."`
	JSON   bool          `help:"Print the report as one JSON object."`
}

// errViolations is returned after a run that found violated guarantees.
var errViolations = errors.New("guarantees were violated")

// Run implements the command soak.
func (c *soakCommand) Run(rc *runContext) (err error) {
	folder, created, err := c.makeFolder()
	if err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	test := &iosoak.Soak{Seed: c.Seed, FaultPeriod: c.For, Program: executable, Folder: folder, Platform: platform.Emulator{}}
	report, err := test.Run(rc.ctx)
	if err != nil {
		return fmt.Errorf("%w; logs are in %s", err, folder)
	}
	if err := c.print(&report); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return fmt.Errorf("seed %d: %w; logs are in %s", c.Seed, errViolations, folder)
	}
	if c.Keep || !created {
		return nil
	}
	return os.RemoveAll(folder)
}

// makeFolder returns the absolute path of the folder for the run, and whether it was
// created for it. Only such a folder may be removed.
func (c *soakCommand) makeFolder() (folder string, created bool, err error) {
	if c.Folder == "" {
		folder, err = os.MkdirTemp("", "comfreypulley-soak-")
		return folder, true, err
	}
	if folder, err = filepath.Abs(c.Folder); err != nil {
		return "", false, err
	}
	const mode = 0o700
	err = os.Mkdir(folder, mode)
	if errors.Is(err, fs.ErrExist) {
		return folder, false, nil
	}
	return folder, err == nil, err
}

func (c *soakCommand) print(r *soak.Report) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("seed %d: %d requests, %d served, %d runs, %d changes, %d reads, %d stalls, %.3f served after the recovery\nfaults %v\njudged %v\n",
		r.Seed, r.Requests, r.Served, r.Runs, r.Changes, r.Reads, r.Stalls, r.Recovered, r.Faults, r.Judged)
	for _, finding := range r.Findings {
		fmt.Println("finding:", finding)
	}
	return nil
}
