package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// goodReport is a report with one finding.
const goodReport = `{"Issues":[{"FromLinter":"revive","Text":"no comment","Pos":{"Filename":"internal/a/x.go","Line":7}}],
	"Report":{"Linters":[{"Name":"revive","Enabled":true},{"Name":"lll"}]}}`

func TestJudge_ComparesReportWithList(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	list, report := filepath.Join(folder, "list"), filepath.Join(folder, "report")
	is.NoErr(os.WriteFile(report, []byte(goodReport), 0o600))
	is.NoErr(os.WriteFile(list, []byte("internal/a: revive\n"), 0o600))
	problems, err := judge(list, report)
	is.NoErr(err)
	is.Equal(len(problems), 0)
	is.NoErr(os.WriteFile(list, nil, 0o600))
	problems, err = judge(list, report)
	is.NoErr(err)
	is.Equal(problems, []string{"internal/a/x.go:7: revive: no comment"})
}

func TestFindings_RejectsIncompleteRun(t *testing.T) {
	for _, report := range []string{
		"", "{}", `{"Issues":[],"Report":{"Linters":[{"Name":"revive"}]}}`,
		`{"Issues":[],"Report":{"Error":"panic","Linters":[{"Name":"revive","Enabled":true}]}}`,
		`{"Issues":[],"Report":{"Warnings":[{"Tag":"runner","Text":"can't load"}],"Linters":[{"Name":"revive","Enabled":true}]}}`,
	} {
		if found, err := findings(strings.NewReader(report)); err == nil {
			t.Errorf("%q was read as %v", report, found)
		}
	}
}
