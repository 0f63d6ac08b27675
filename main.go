// Command comfreypulley is a query tier over many shards. Its subcommands are
// described by comfreypulley --help.
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
		panic(err) // the folder is part of the program
	}
	os.Exit(cmds.Main(os.Args[1:], examples))
}
