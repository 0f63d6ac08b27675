package cmds

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"
)

// explainCommand prints the event history of a VM: its decisions and their causes.
type explainCommand struct {
	adminFlags
	Subject string `arg:"" optional:"" help:"Only subjects that contain this text, such as upstream u3."`
}

// Run implements the command explain.
func (c *explainCommand) Run(rc *runContext) (err error) {
	client, err := c.client()
	if err != nil {
		return err
	}
	notes, err := client.Explain(rc.ctx, c.Subject)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, n := range notes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", n.At.Format(time.RFC3339Nano), n.Subject, n.Action, n.Cause)
	}
	return w.Flush()
}
