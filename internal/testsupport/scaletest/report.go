package scaletest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const reportFile = "hollow.json"

// Report is the result of a run over several sizes.
type Report struct {
	// Command is the command line of the run.
	Command string  `json:"command"`
	Runs    []Run   `json:"runs"`
	Slopes  []Slope `json:"slopes"`
}

// Save writes the report to a folder as JSON, and an SVG plot of each slope that has at least two
// points.
func (r Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, reportFile), append(raw, '\n'), 0o644); err != nil {
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

// plotFile returns the file name of the plot, such as "steady-proxy-memory.svg".
func (s Slope) plotFile() string {
	measure, _, _ := strings.Cut(strings.ReplaceAll(s.Measure, ":", ""), ",")
	return strings.ReplaceAll(fmt.Sprintf("%s-%s-%s.svg", s.Phase, s.Role, measure), " ", "-")
}

// sizes returns the sizes of all runs.
func (r Report) sizes() []Size {
	var out []Size
	for _, run := range r.Runs {
		out = append(out, run.Size)
	}
	return out
}
