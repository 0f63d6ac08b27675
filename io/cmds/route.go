package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"comfreypulley/io/admin"
)

// routeCommand prints where a request would go now, without sending it.
type routeCommand struct {
	adminFlags
	Target   string `arg:"" optional:"" help:"Host and path of a request along a route, such as search.example/docs/."`
	Index    string `placeholder:"NAME" help:"Index of a query, instead of a host and path."`
	Customer string `placeholder:"NAME" help:"Customer or team whose request it is."`
	JSON     bool   `name:"json" help:"Print JSON instead of text."`
}

// Run implements the command route.
func (c *routeCommand) Run(rc *runContext) (err error) {
	if (c.Target == "") == (c.Index == "") {
		return errors.New("route: either a host and path or --index is required")
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	host, path, _ := strings.Cut(c.Target, "/")
	plan, err := client.Plan(rc.ctx, admin.PlanQuery{Customer: c.Customer, Host: host, Path: "/" + path, Index: c.Index})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(plan)
	}
	return printPlan(os.Stdout, plan)
}

// printPlan writes a plan as text.
func printPlan(out io.Writer, p admin.Plan) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "vm\t%s\n", p.VM)
	if p.Version > 0 {
		fmt.Fprintf(w, "document\tversion %d\n", p.Version)
	}
	if p.Route != "" {
		fmt.Fprintf(w, "route\t%s\n", p.Route)
	}
	if p.Customer != "" {
		fmt.Fprintf(w, "customer\t%s\n", p.Customer)
	}
	if p.Metered {
		fmt.Fprintln(w, "first\tasks for a token of the customer's limit")
	}
	switch {
	case p.Refused != "":
		fmt.Fprintf(w, "result\trefused: %s\n", p.Refused)
	case p.Handover:
		fmt.Fprintln(w, "result\tanother VM serves it, since this one reaches no upstream or lacks the newest document")
	default:
		fmt.Fprintf(w, "result\tsent to %s\n", destinations(p.Services))
	}
	for _, s := range p.Services {
		fmt.Fprintf(w, "\n%s\t%s\n", s.Service, chosenBy(s))
		for i, candidate := range s.Candidates {
			fmt.Fprintf(w, "  %s\t%s\t%s\t%s\n", candidate.Upstream, candidate.Zone, time.Duration(candidate.Cost).Round(100*time.Microsecond), verdict(i, candidate))
		}
	}
	return w.Flush()
}

// destinations says how many services a request goes to.
func destinations(services []admin.ServicePlan) string {
	for _, s := range services {
		if s.Fraction < 1 {
			return "one of the services, by weight"
		}
	}
	if len(services) == 1 {
		return "one service"
	}
	return fmt.Sprintf("all %d services", len(services))
}

// chosenBy says which part of the requests a service gets, and who chooses its upstream.
func chosenBy(s admin.ServicePlan) string {
	var parts []string
	if s.Fraction < 1 {
		parts = append(parts, fmt.Sprintf("%.0f%% of the requests", 100*s.Fraction))
	}
	if len(s.VMs) > 0 {
		parts = append(parts, "chosen by one of "+strings.Join(s.VMs, " ")+"; this VM sees")
	}
	if len(s.Candidates) == 0 {
		parts = append(parts, "no upstream")
	}
	return strings.Join(parts, ", ")
}

// obstacles explains why an upstream gets no request.
var obstacles = map[string]string{
	"state":       "not listed as active",
	"leaving":     "about to stop",
	"zone":        "its zone is out of use",
	"identity":    "another upstream answers at its address",
	"unreachable": "does not answer probes, or is still starting",
	"pause":       "asked for a pause",
	"busy":        "has as many attempts of this VM as it may",
	"conns":       "accepts no further connection",
	"backoff":     "connections to it failed; used when no other is left",
	"pace":        "its pace after a start leaves no room; used when no other is left",
	"limit":       "its stated limit leaves no room",
}

// verdict explains the place of a candidate in the order of preference.
func verdict(place int, c admin.Candidate) string {
	text, known := obstacles[c.Obstacle]
	switch {
	case known:
		return text
	case c.Obstacle != "":
		return c.Obstacle
	case c.Chance < 1:
		return fmt.Sprintf("its limits leave room for %.0f%% of the requests", 100*c.Chance)
	case place == 0:
		return "preferred: lowest cost"
	default:
		return "usable"
	}
}
