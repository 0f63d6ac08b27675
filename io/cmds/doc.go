// Package cmds implements the command line, with one file for each subcommand.
//
// # Usage
//
//	os.Exit(cmds.Main(os.Args[1:], examples))
//
// The command structs declare arguments and flags for github.com/alecthomas/kong:
// a flag is named after its field, so RareBy becomes --rare-by. Kong calls the
// Run method of the selected command.
//
// Every command writes results to standard output and logs, as JSON lines, to
// standard error; only the command platform logs to standard output. The exit
// status is 0 on success, 1 on failure and 2 for an invalid command line.
package cmds
