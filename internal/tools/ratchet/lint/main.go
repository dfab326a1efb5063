// Command lint compares a JSON report of golangci-lint with the list of folders that still have
// findings (package ratchet).
//
// Usage: lint LIST REPORT
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"dunlinwell/internal/tools/ratchet"
)

// report holds the fields used of golangci-lint's JSON report.
type report struct {
	Issues []issue
	Report struct {
		Error    string
		Linters  []linter
		Warnings []warning
	}
}

// issue is one finding of the report.
type issue struct {
	FromLinter string
	Text       string
	Pos        struct {
		Filename string
		Line     int
	}
}

// linter is one linter of the report, with whether it ran.
type linter struct {
	Name    string
	Enabled bool
}

// warning is a problem that golangci-lint had during the run.
type warning struct{ Tag, Text string }

// findings reads a report, and returns an error if the run was incomplete.
func findings(in io.Reader) ([]ratchet.Finding, error) {
	var r report
	if err := json.NewDecoder(in).Decode(&r); err != nil {
		return nil, fmt.Errorf("reading the report: %w", err)
	}
	if r.Report.Error != "" {
		return nil, errors.New(r.Report.Error)
	}
	if len(r.Report.Warnings) > 0 {
		return nil, fmt.Errorf("golangci-lint reported warnings: %v", r.Report.Warnings)
	}
	enabled := 0
	for _, l := range r.Report.Linters {
		if l.Enabled {
			enabled++
		}
	}
	if enabled == 0 {
		return nil, errors.New("no linter in the report ran")
	}
	var found []ratchet.Finding
	for _, i := range r.Issues {
		found = append(found, ratchet.Finding{File: filepath.ToSlash(i.Pos.Filename), Line: i.Pos.Line, Check: i.FromLinter, Text: i.Text})
	}
	return found, nil
}

// judge compares the report with the list, and returns the result of ratchet.Compare.
func judge(listPath, reportPath string) ([]string, error) {
	list, err := os.Open(listPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = list.Close() }()
	entries, err := ratchet.Read(list)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", listPath, err)
	}
	in, err := os.Open(reportPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = in.Close() }()
	found, err := findings(in)
	if err != nil {
		return nil, err
	}
	return ratchet.Compare(entries, found), nil
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lint LIST REPORT")
		os.Exit(2)
	}
	problems, err := judge(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lint:", err)
		os.Exit(2)
	}
	for _, problem := range problems {
		fmt.Println(problem)
	}
	if len(problems) > 0 {
		os.Exit(1)
	}
}
