package ratchet

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"path"
	"slices"
	"strings"
)

// Entry permits the findings of one check in one folder, but not in its subfolders.
type Entry struct{ Folder, Check string }

// Finding is one problem that a check reports in a file.
type Finding struct {
	// File is the slash-separated path relative to the module's root.
	File  string
	Line  int
	Check string
	Text  string
}

// String returns the finding in the format of compiler errors.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Check, f.Text)
}

// Read parses a list: each line holds a folder and, after a colon, the checks that still fail there.
// It skips empty lines and lines that begin with #.
func Read(list io.Reader) ([]Entry, error) {
	var entries []Entry
	lines := bufio.NewScanner(list)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		folder, checks, found := strings.Cut(line, ":")
		names := strings.Fields(checks)
		if !found || len(names) == 0 || folder != path.Clean(folder) || strings.ContainsAny(folder, " \t") {
			return nil, fmt.Errorf("want `folder: check ...`, got %q", line)
		}
		for _, name := range names {
			entry := Entry{Folder: folder, Check: name}
			if slices.Contains(entries, entry) {
				return nil, fmt.Errorf("duplicate entry %s: %s", folder, name)
			}
			entries = append(entries, entry)
		}
	}
	return entries, lines.Err()
}

// Compare returns the findings that no entry permits and the entries that have no finding, as
// messages.
func Compare(entries []Entry, findings []Finding) []string {
	needed := map[Entry]bool{}
	var problems []string
	for _, finding := range slices.SortedFunc(slices.Values(findings), byPlace) {
		entry := Entry{Folder: path.Dir(finding.File), Check: finding.Check}
		needed[entry] = true
		if !slices.Contains(entries, entry) {
			problems = append(problems, finding.String())
		}
	}
	for _, entry := range entries {
		if !needed[entry] {
			problems = append(problems, fmt.Sprintf("%s: %s is listed as unclean but has no findings: remove it from the list", entry.Folder, entry.Check))
		}
	}
	return problems
}

// byPlace compares findings by file, line and text.
func byPlace(a, b Finding) int {
	return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Text, b.Text))
}
