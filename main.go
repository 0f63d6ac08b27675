// Command comfreypulley runs a query tier over many shards: its processes, the
// operator commands, and tools for tests. comfreypulley --help lists the commands.
package main

import (
	"embed"
	"io/fs"
	"os"

	"comfreypulley/io/cmds"
)

//go:embed docs/examples
var embedded embed.FS

func main() {
	examples, err := fs.Sub(embedded, "docs/examples")
	if err != nil {
		panic(err) // docs/examples is embedded above, so this cannot happen
	}
	os.Exit(cmds.Main(os.Args[1:], examples))
}
