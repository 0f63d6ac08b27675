// Command comfreypulley is a query tier over many shards. Its subcommands are
// described by comfreypulley --help.
package main

import (
	"os"

	"comfreypulley/io/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
