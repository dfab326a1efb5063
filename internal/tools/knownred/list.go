package knownred

import (
	"fmt"
	"strings"
)

// fieldsPerLine is the number of fields of an entry: the test, the cause and the issue.
const fieldsPerLine = 3

// Entry is one test that is known to fail. Test is package.TestName or package.TestName/subtest.
type Entry struct{ Test, Cause, Issue string }

// String returns the entry as a line of the list.
func (e Entry) String() string { return fmt.Sprintf("%s | %s | %s", e.Test, e.Cause, e.Issue) }

// Read parses a list with one entry per line: `package.TestName | cause | issue`. It skips empty
// lines and lines that start with #, and returns an error for any other line.
func Read(raw string) ([]Entry, error) {
	var entries []Entry
	seen := map[string]bool{}
	for n, line := range strings.Split(raw, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		entry, err := parseEntry(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n+1, err)
		}
		if seen[entry.Test] {
			return nil, fmt.Errorf("line %d: %s is listed twice", n+1, entry.Test)
		}
		seen[entry.Test] = true
		entries = append(entries, entry)
	}
	return entries, nil
}

// parseEntry parses one line of the list.
func parseEntry(line string) (Entry, error) {
	fields := strings.Split(line, "|")
	if len(fields) != fieldsPerLine {
		return Entry{}, fmt.Errorf("want `package.TestName | cause | issue`, got %q", line)
	}
	entry := Entry{strings.TrimSpace(fields[0]), strings.TrimSpace(fields[1]), strings.TrimSpace(fields[2])}
	if entry.Test == "" || entry.Cause == "" || entry.Issue == "" {
		return Entry{}, fmt.Errorf("missing test, cause or issue")
	}
	return entry, nil
}
