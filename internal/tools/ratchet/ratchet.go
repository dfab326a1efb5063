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

// Entry excuses one check in one folder, but not in the folders below it.
type Entry struct{ Folder, Check string }

// Finding is one report of a check on a file.
type Finding struct {
	// File is the path from the module's root, with slashes.
	File  string
	Line  int
	Check string
	Text  string
}

// String gives the finding as compilers print theirs.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Check, f.Text)
}

// Read reads a list: each line names a folder and, after a colon, the checks that
// still fail there. Empty lines and lines that begin with # are passed over.
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
			return nil, fmt.Errorf("not `folder: check ...`: %s", line)
		}
		for _, name := range names {
			entry := Entry{Folder: folder, Check: name}
			if slices.Contains(entries, entry) {
				return nil, fmt.Errorf("listed twice: %s: %s", folder, name)
			}
			entries = append(entries, entry)
		}
	}
	return entries, lines.Err()
}

// Compare lists what speaks against a run: each finding that no entry excuses, and
// each entry that excuses nothing.
func Compare(entries []Entry, findings []Finding) []string {
	needed := map[Entry]bool{}
	var complaints []string
	for _, finding := range slices.SortedFunc(slices.Values(findings), byPlace) {
		entry := Entry{Folder: path.Dir(finding.File), Check: finding.Check}
		needed[entry] = true
		if !slices.Contains(entries, entry) {
			complaints = append(complaints, finding.String())
		}
	}
	for _, entry := range entries {
		if !needed[entry] {
			complaints = append(complaints, fmt.Sprintf("%s: %s is listed as unclean but finds nothing: take it off the list", entry.Folder, entry.Check))
		}
	}
	return complaints
}

// byPlace orders findings by file and line.
func byPlace(a, b Finding) int {
	return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Text, b.Text))
}
