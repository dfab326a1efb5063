package cli

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"dunlinwell/internal/controlplane/registry"
)

// columnPadding is the space between the columns of a table.
const columnPadding = 2

// StatusCmd shows the status of the fleet, as seen by one registry.
type StatusCmd struct{}

// Run runs the command.
func (s *StatusCmd) Run(c *Context) error {
	raw, err := c.Call(http.MethodGet, "/v1/status", nil, callHeaders{})
	if err != nil {
		return err
	}
	return c.Print(raw, func() error {
		status, err := decodeResponse[registry.Status](raw)
		if err != nil {
			return err
		}
		printStatus(c.Out, status)
		return nil
	})
}

// printStatus prints a status as tables.
func printStatus(out io.Writer, status registry.Status) {
	w := tabwriter.NewWriter(out, 0, 4, columnPadding, ' ', 0)
	// Flush fails only if writing to standard output fails.
	defer func() { _ = w.Flush() }()
	printRevision(w, status)
	printZones(w, status)
	printMoves(w, status)
	printDaemons(w, status)
	printLeaderships(w, status)
	if len(status.Warnings) == 0 {
		fmt.Fprintln(w, "\nno problems")
		return
	}
	fmt.Fprintf(w, "\nPROBLEMS\n  %s\n", strings.Join(status.Warnings, "\n  "))
}

func printRevision(w io.Writer, status registry.Status) {
	inForce := "in force on every live proxy"
	if !status.InForce {
		inForce = fmt.Sprintf("not yet in force on %v", status.LaggingProxies)
	}
	fmt.Fprintf(w, "revision %d, %s (seen by registry %s)\n", status.Revision, inForce, status.Registry)
}

func printZones(w io.Writer, status registry.Status) {
	fmt.Fprintln(w, "\nZONE\tUSED\tACCEPT\tTARGET\tMAX\tMAX SOURCE\tPROXIES\tTARGETS\tSTATE")
	for _, z := range status.Zones {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%d\t%d\t%s\n", z.Name, z.Used, z.Acceptable, z.Target, z.Maximum, z.Learned, z.Proxies, z.Targets, z.State)
	}
}

func printMoves(w io.Writer, status registry.Status) {
	fmt.Fprintln(w, "\nMOVE\tROUTE\tFRACTION\tMS/S\tREASON")
	for _, m := range status.Moves {
		fmt.Fprintf(w, "%s > %s\t%s\t%.1f%%\t%.0f\t%s\n", m.From, m.To, m.Route, m.Fraction*100, m.Amount, m.Reason)
	}
}

func printDaemons(w io.Writer, status registry.Status) {
	fmt.Fprintln(w, "\nDAEMON\tROLE\tZONE\tADDRESS\tHTTP\tREVISION\tSTATE")
	for _, d := range status.Daemons {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", d.ID, d.Role, d.Zone, d.Address, d.HTTP, d.Revision, d.State)
	}
}

func printLeaderships(w io.Writer, status registry.Status) {
	fmt.Fprintln(w, "\nLEADERSHIP\tEPOCH\tPLAN\tHELD")
	for _, l := range status.Leaderships {
		fmt.Fprintf(w, "%s\t%d\t%d\t%t\n", l.Name, l.Epoch, l.PlanNumber, l.Held)
	}
}
