package scaletest

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
)

// Report is a whole run over several sizes, as JSON has it.
type Report struct {
	Command string  `json:"command"`
	Runs    []Run   `json:"runs"`
	Slopes  []Slope `json:"slopes"`
}

// Save keeps the report in a folder: figures as JSON, slopes as SVG.
func (r Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "hollow.json"), append(raw, '\n'), 0o644); err != nil {
		return err
	}
	for _, s := range r.Slopes {
		if len(s.Points) > 1 {
			if err := s.plot(filepath.Join(dir, s.plotFile())); err != nil {
				return err
			}
		}
	}
	return nil
}

// plotFile names a slope's plot.
func (s Slope) plotFile() string {
	short, _, _ := strings.Cut(strings.ReplaceAll(s.Measure, ":", ""), ",")
	return strings.ReplaceAll(fmt.Sprintf("%s-%s-%s.svg", s.Phase, s.Role, short), " ", "-")
}

// WriteTables prints the runs and their slopes as tables.
func (r Report) WriteTables(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "size\tphase\ttook s\trole\tCPU %\tbusiest %\tMB\tsent B/s\trecv B/s\tmsg/s\tlost\tfiles\tlag p50/p99/max ms\tmostly")
	for _, run := range r.Runs {
		for _, p := range run.Phases {
			for _, s := range p.Usages {
				mostly := ""
				for _, k := range s.Kinds[:min(2, len(s.Kinds))] {
					mostly += fmt.Sprintf("%s %.1f/s of %.0f B; ", k.Kind, k.MessagesPerSecond, k.BytesPerMessage)
				}
				fmt.Fprintf(w, "%.0f %s\t%s\t%.1f\t%s\t%.2f\t%.0f\t%.1f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f/%.0f/%.0f\t%s\n", run.Size.Along(Axis(r.sizes())), Axis(r.sizes()), p.Name, p.Seconds, s.Role,
					s.CPUPercent, s.BusiestProcessCPUPercent, s.MemoryMB, s.SentBytesPerSecond, s.ReceivedBytesPerSecond, s.SentMessagesPerSecond, s.LostMessages, s.Descriptors, p.Lag.P50, p.Lag.P99, p.Lag.Max, mostly)
			}
		}
		for _, p := range run.Phases {
			if n := p.SuspicionsPerSecond(); n > restlessSuspicionsPerSecond && (p.Name == "steady" || p.Name == "change") {
				fmt.Fprintf(w, "not at rest: %s, %.2f inquiries and suspicions a second from each proxy\n", p.Name, n)
			}
		}
		fmt.Fprintf(w, "machine: load %.1f on %d processors, %d threads a process\n", run.LoadAverage, run.Cores, run.Threads)
		if run.Stopped != "" {
			fmt.Fprintf(w, "stopped at %s: %s\n", run.Size, run.Stopped)
		}
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "phase\trole\tmeasure\tfit\tr2\tpoints\tleft out\tat\tworked out\tbudget")
	for _, s := range r.Slopes {
		if s.Fit == nil {
			continue
		}
		x := "x"
		if s.Fit.Shape == quadratic {
			x = "x²"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g + %.4g %s\t%.3f\t%d\t%d\t%.0f %s\t%.4g\t%s\n", s.Phase, s.Role, s.Measure, s.Fit.Intercept, s.Fit.Slope, x, s.Fit.R2,
			s.Fit.PointCount, len(s.Points)-s.Fit.PointCount, s.DesignPoint, s.Axis, s.Extrapolated, s.comparedWithBudget())
	}
	return w.Flush()
}

// comparedWithBudget sets what was worked out beside its budget.
func (s Slope) comparedWithBudget() string {
	switch {
	case s.Budget == 0:
		return ""
	case s.Extrapolated > s.Budget:
		return fmt.Sprintf("%.4g: %.1f times over", s.Budget, s.Extrapolated/s.Budget)
	}
	return fmt.Sprintf("%.4g: within", s.Budget)
}

func (r Report) sizes() []Size {
	var out []Size
	for _, run := range r.Runs {
		out = append(out, run.Size)
	}
	return out
}
