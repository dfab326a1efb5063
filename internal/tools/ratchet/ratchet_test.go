package ratchet

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRead_FoldersAndChecks(t *testing.T) {
	is := is.New(t)
	entries, err := Read(strings.NewReader("# comment\n\ninternal/a: errcheck revive\nplatform: revive\n"))
	is.NoErr(err)
	is.Equal(entries, []Entry{{"internal/a", "errcheck"}, {"internal/a", "revive"}, {"platform", "revive"}})
}

func TestRead_RejectsMalformedLines(t *testing.T) {
	for _, list := range []string{"internal/a", "internal/a:", "internal/a/: revive", "./a: revive", ": revive", "a b: revive", "a: x x", "a: x\na: x"} {
		if entries, err := Read(strings.NewReader(list)); err == nil {
			t.Errorf("%q was read as %v", list, entries)
		}
	}
}

func TestCompare_PermitsOnlyListedFindings(t *testing.T) {
	is := is.New(t)
	found := []Finding{
		{File: "internal/a/x.go", Line: 9, Check: "revive", Text: "listed"},
		{File: "internal/a/x.go", Line: 3, Check: "errcheck", Text: "another check"},
		{File: "internal/a/b/y.go", Line: 1, Check: "revive", Text: "subfolder"},
		{File: "internal/ab/z.go", Line: 2, Check: "revive", Text: "longer name"},
	}
	is.Equal(Compare([]Entry{{"internal/a", "revive"}}, found), []string{
		"internal/a/b/y.go:1: revive: subfolder",
		"internal/a/x.go:3: errcheck: another check",
		"internal/ab/z.go:2: revive: longer name",
	})
}

func TestCompare_ReportsListedCleanFolders(t *testing.T) {
	is := is.New(t)
	found := []Finding{{File: "internal/a/x.go", Line: 9, Check: "revive", Text: "listed"}}
	problems := Compare([]Entry{{"internal/a", "errcheck"}, {"internal/a", "revive"}, {"internal/gone", "revive"}}, found)
	is.Equal(problems, []string{
		"internal/a: errcheck is listed as unclean but has no findings: remove it from the list",
		"internal/gone: revive is listed as unclean but has no findings: remove it from the list",
	})
}
