package scaletest

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// maxKindsPerRow is the number of message kinds, ordered by bytes, in a row of the table.
const maxKindsPerRow = 2

// WriteTables writes the runs and slopes as plain-text tables.
func (r Report) WriteTables(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "size\tphase\tduration s\trole\tCPU %\tbusiest %\tMB\tsent B/s\trecv B/s\tmsg/s\tlost\tFDs\tlag p50/p99/max ms\ttop message kinds")
	axis := Axis(r.sizes())
	for _, run := range r.Runs {
		run.writeRows(w, axis)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "phase\trole\tmeasure\tfit\tr2\tpoints\texcluded\tdesign point\textrapolated\tbudget")
	for _, s := range r.Slopes {
		if s.Fit != nil {
			s.writeRow(w)
		}
	}
	return w.Flush()
}

// writeRows writes a row for each phase and role, then the unstable phases, the load of the machine
// and the reason for an early end.
func (r Run) writeRows(w io.Writer, axis string) {
	for _, p := range r.Phases {
		for _, u := range p.Usages {
			topKinds := ""
			for _, k := range u.Kinds[:min(maxKindsPerRow, len(u.Kinds))] {
				topKinds += fmt.Sprintf("%s %.1f/s of %.0f B; ", k.Kind, k.MessagesPerSecond, k.BytesPerMessage)
			}
			fmt.Fprintf(w, "%.0f %s\t%s\t%.1f\t%s\t%.2f\t%.0f\t%.1f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f/%.0f/%.0f\t%s\n",
				r.Size.AxisValue(axis), axis, p.Name, p.Seconds, u.Role, u.CPUPercent, u.BusiestProcessCPUPercent, u.MemoryMB,
				u.SentBytesPerSecond, u.ReceivedBytesPerSecond, u.SentMessagesPerSecond, u.LostMessages, u.Descriptors,
				p.Lag.P50, p.Lag.P99, p.Lag.Max, topKinds)
		}
	}
	for _, p := range r.Phases {
		if !p.isStable() {
			fmt.Fprintf(w, "unstable: %s, %.2f lease requests and suspicions per second and proxy\n", p.Name, p.SuspicionsPerSecond())
		}
	}
	fmt.Fprintf(w, "machine: load average %.1f, %d CPUs, %d threads per process\n", r.LoadAverage, r.Cores, r.Threads)
	if r.Stopped != "" {
		fmt.Fprintf(w, "stopped at %s: %s\n", r.Size, r.Stopped)
	}
}

// writeRow writes the row of a slope that has a fit.
func (s Slope) writeRow(w io.Writer) {
	x := "x"
	if s.Fit.Shape == quadratic {
		x = "x²"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%.4g + %.4g %s\t%.3f\t%d\t%d\t%.0f %s\t%.4g\t%s\n",
		s.Phase, s.Role, s.Measure, s.Fit.Intercept, s.Fit.Slope, x, s.Fit.R2,
		s.Fit.PointCount, len(s.Points)-s.Fit.PointCount, s.DesignPoint, s.Axis, s.Extrapolated, s.budgetComparison())
}

// budgetComparison returns the budget and whether the extrapolated cost is within it, or an empty
// string if there is no budget.
func (s Slope) budgetComparison() string {
	switch {
	case s.Budget == 0:
		return ""
	case s.Extrapolated > s.Budget:
		return fmt.Sprintf("%.4g: %.1f times the budget", s.Budget, s.Extrapolated/s.Budget)
	}
	return fmt.Sprintf("%.4g: within", s.Budget)
}
