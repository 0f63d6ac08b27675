// Package cmds is the command line: one file for each subcommand.
//
// # Usage
//
//	os.Exit(cmds.Main(os.Args[1:], examples))
//
// Every subcommand writes results to standard output and logs, as JSON lines, to
// standard error. The exit status is 0 on success, 1 on failure and 2 for a
// wrong command line.
package cmds
