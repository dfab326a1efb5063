package compat

import (
	"flag"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files with the output of the current code")

// checkGolden compares lines with those of a golden file: both must have the same names, with the
// same texts.
func checkGolden(t *testing.T, file string, got map[string]string) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		writeGolden(t, path, got)
	}
	want := readGolden(t, path)
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if _, ok := want[name]; !ok {
			t.Errorf("%s has no line for %q", file, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		text, ok := got[name]
		if !ok {
			t.Errorf("%s: no output for the line %q", file, name)
		} else if text != want[name] {
			t.Errorf("%s: %q\n got %s\nwant %s", file, name, text, want[name])
		}
	}
}

// readGolden reads a golden file. Each line holds a name, a tab and a text.
func readGolden(t *testing.T, path string) map[string]string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string]string{}
	for line := range strings.Lines(string(raw)) {
		name, text, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if _, twice := lines[name]; !ok || twice {
			t.Fatalf("%s: bad line %q", path, line)
		}
		lines[name] = text
	}
	return lines
}

// writeGolden writes a golden file, sorted by name.
func writeGolden(t *testing.T, path string, lines map[string]string) {
	t.Helper()
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		out.WriteString(name + "\t" + lines[name] + "\n")
	}
	if err := os.WriteFile(path, []byte(out.String()), 0o600); err != nil {
		t.Fatal(err)
	}
}
