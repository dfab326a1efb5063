// Package redlist judges a test run against the list of tests known to be red.
package knownred

import (
	"fmt"
	"strings"
)

// Entry is one test that is known to be red, and why.
type Entry struct{ Test, Cause, Issue string }

// Read reads the list: `package.TestName | cause | issue`, one a line; lines
// that start with # are comments. A line that can't be read spoils the list, or
// a record of the pen would go unseen.
func Read(raw string) ([]Entry, error) {
	var out []Entry
	seen := map[string]bool{}
	for n, line := range strings.Split(raw, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, "|")
		if len(parts) != 3 {
			return nil, fmt.Errorf("line %d: want `package.TestName | cause | issue`, not %q", n+1, line)
		}
		k := Entry{strings.TrimSpace(parts[0]), strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])}
		switch {
		case k.Test == "" || k.Cause == "" || k.Issue == "":
			return nil, fmt.Errorf("line %d: the test, its cause or its issue is missing", n+1)
		case seen[k.Test]:
			return nil, fmt.Errorf("line %d: %s is listed twice", n+1, k.Test)
		}
		seen[k.Test] = true
		out = append(out, k)
	}
	return out, nil
}
