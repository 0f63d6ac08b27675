package cmds_test

import (
	"testing"
	"testing/fstest"
	"time"

	"comfreypulley/io/cmds"
)

// Guards against a help flag that prints the help and then fails, or runs the command,
// and against a wrong command line that is not reported as such.
func TestHelpAndUsage(t *testing.T) {
	const most = 5 * time.Second // a command that runs takes longer
	for _, command := range [][]string{
		{},
		{"serve"},
		{"upstream"},
		{"fault"},
		{"load"},
		{"check"},
		{"contract"},
		{"contract", "list"},
		{"fleet"},
		{"status"},
		{"explain"},
		{"demo"},
		{"platform"},
		{"fanout"},
		{"soak"},
	} {
		start := time.Now()
		if got := cmds.Main(append(command, "--help"), fstest.MapFS{}); got != 0 {
			t.Errorf("got exit status %d for %v --help, want 0", got, command)
		}
		if took := time.Since(start); took > most {
			t.Errorf("%v --help took %v, want the help only", command, took)
		}
	}
	for _, args := range [][]string{{}, {"bogus"}, {"check"}, {"platform", "none"}, {"demo", "--bogus"}} {
		if got, want := cmds.Main(args, fstest.MapFS{}), 2; got != want {
			t.Errorf("got exit status %d for %v, want %d", got, args, want)
		}
	}
}
