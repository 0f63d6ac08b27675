package cmds

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"comfreypulley/io/spool"
)

// commands declares all commands for kong.
type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run an entry VM."`
	Upstream upstreamCommand `cmd:"" help:"Run a stand-in upstream."`
	Fault    faultCommand    `cmd:"" help:"Run a fault-injecting TCP proxy."`
	Load     loadCommand     `cmd:"" help:"Send queries as callers do and report latencies."`
	Check    checkCommand    `cmd:"" help:"Check a settings or fleet file."`
	Contract contractCommand `cmd:"" help:"Create, change, retire and list contracts."`
	Fleet    fleetCommand    `cmd:"" help:"Add, drain and remove the upstreams and VMs of a fleet."`
	Zone     zoneCommand     `cmd:"" help:"Take the upstreams of an availability zone out of use, and put them back."`
	Status   statusCommand   `cmd:"" help:"Print what a VM knows of the fleet."`
	Explain  explainCommand  `cmd:"" help:"Print a VM's decisions and their causes."`
	Route    routeCommand    `cmd:"" help:"Print where a request would go now, and why, without sending it."`
	Demo     demoCommand     `cmd:"" help:"Run zones of VMs, stand-in upstreams and a load in one process."`
	Platform platformCommand `cmd:"" help:"Run a process on the users' platform."`
	Fanout   fanoutCommand   `cmd:"" help:"Drive the reducer in virtual time over many shards and print latencies."`
	Soak     soakCommand     `cmd:"" help:"Run a fleet as processes under random faults and check its promises."`
}

// usageStatus is the exit status of a command line that is not valid.
const usageStatus = 2

// helpExit records that kong has printed the help, after which it expects the process
// to exit. Without it the command would go on as if it had no help flag.
type helpExit struct {
	requested bool
	status    int
}

func (h *helpExit) record(status int) { h.requested, h.status = true, status }

// runContext is passed to the Run method of every command.
type runContext struct {
	ctx      context.Context
	handler  log.Handler   // writes JSON lines to standard error
	logger   log.Interface // logs to handler from level info on
	examples fs.FS         // content of docs/examples
}

// Main runs the command given by args and returns the exit status. The content of
// docs/examples is passed in examples.
func Main(args []string, examples fs.FS) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cli commands
	var exit helpExit
	parser, err := kong.New(&cli,
		kong.Name("comfreypulley"),
		kong.Description("Query tier over many shards."),
		kong.Exit(exit.record),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, "comfreypulley:", err)
		return usageStatus
	}
	parsed, err := parser.Parse(args)
	if exit.requested {
		return exit.status
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "comfreypulley: %v; --help after the command lists its arguments and flags\n", err)
		return usageStatus
	}
	logWriter := spool.New(os.Stderr)
	defer logWriter.Close()
	handler := json.New(logWriter)
	logger := &log.Logger{Handler: handler, Level: log.InfoLevel}
	if err := parsed.Run(&runContext{ctx: ctx, handler: handler, logger: logger, examples: examples}); err != nil {
		fmt.Fprintln(os.Stderr, "comfreypulley:", err)
		return 1
	}
	return 0
}
