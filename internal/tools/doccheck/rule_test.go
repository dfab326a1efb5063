package doccheck

import (
	"go/parser"
	"go/token"
	"testing"

	"github.com/matryer/is"
)

// reported returns the findings of misnamed in a source, as text.
func reported(t *testing.T, path, source string) []string {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, source, parser.ParseComments)
	is.New(t).NoErr(err)
	var lines []string
	for _, finding := range misnamed(files, file, path) {
		lines = append(lines, finding.String())
	}
	return lines
}

func TestMisnamed_AcceptsCommentsThatNameTheirItem(t *testing.T) {
	for _, source := range []string{
		"// Desk is one.\ntype Desk struct{}",
		"// A Desk is one.\ntype Desk struct{}",
		"// An Item is one.\ntype Item struct{}",
		"// The Desk is one.\ntype Desk struct{}",
		"// desk is one.\ntype desk struct{}",
		"// Open, once called, stays so.\nfunc Open() {}",
		"// Open's result is kept.\nfunc Open() {}",
		"type desk struct{}\n\n// open opens.\nfunc (desk) open() {}",
		"// Loud and quiet are levels.\nconst Loud, quiet = 1, 2",
		"// quiet goes with Loud.\nvar Loud, quiet = 1, 2",
		"// Levels of noise.\nconst (\n\t// Loud is one.\n\tLoud = 1\n\tquiet = 2 // no noise\n)",
		"func open() {}",
		"//go:noinline\nfunc open() {}",
		"// What is imported.\nimport (\n\t// For its side effect.\n\t_ \"embed\"\n)",
	} {
		if lines := reported(t, "internal/sample/x.go", "package sample\n\n"+source+"\n"); len(lines) > 0 {
			t.Errorf("%s\nis reported: %v", source, lines)
		}
	}
}

func TestMisnamed_ReportsOtherFirstWords(t *testing.T) {
	for _, source := range []string{
		"// Desk is one.\ntype Dispatcher struct{}",
		"// desk is one.\ntype dispatcher struct{}",
		"// Desk is one.\ntype desk struct{}",
		"// Desks are many.\ntype Desk struct{}",
		"// Desk_2 is another.\ntype Desk struct{}",
		"// Opens it.\nfunc Open() {}",
		"// The Open function opens.\nfunc Open() {}",
		"// shut opens.\nfunc open() {}",
		"type desk struct{}\n\n// Shut opens.\nfunc (desk) Open() {}",
		"// Noise is one.\nconst Loud = 1",
		"// how loud it is\nvar loud = 1",
		"// Levels of noise.\nconst (\n\t// Noise is one.\n\tLoud = 1\n)",
		"type (\n\t// Desk is one.\n\tDispatcher struct{}\n)",
	} {
		if lines := reported(t, "internal/sample/x.go", "package sample\n\n"+source+"\n"); len(lines) != 1 {
			t.Errorf("%s\nis reported as %v", source, lines)
		}
	}
}

func TestMisnamed_ReportsPositionItemAndFirstWords(t *testing.T) {
	is := is.New(t)
	source := "package sample\n\n// Desk is what hands out\n// the work of a day.\ntype Dispatcher struct{}\n"
	is.Equal(reported(t, "internal/sample/x.go", source), []string{
		`internal/sample/x.go:3: doc: the comment on Dispatcher begins "Desk is what hands out"`,
	})
}

func TestMisnamed_PackageComments(t *testing.T) {
	for source, want := range map[string]int{
		"// Package sample is one.\npackage sample":        0,
		"// Package samples is one.\npackage sample":       1,
		"// Sample is one.\npackage sample":                1,
		"// Command tool does it.\npackage main":           0,
		"// Tool does it.\npackage main":                   0,
		"// tool does it.\npackage main":                   1,
		"// Package main does it.\npackage main":           1,
		"// Command other does it.\npackage main":          1,
		"//go:build linux\n\npackage sample":               0,
		"// Copyright, apart.\n\npackage sample":           0,
		"// A sample,\n// Package sample.\npackage sample": 1,
	} {
		if lines := reported(t, "cmd/tool/x.go", source+"\n"); len(lines) != want {
			t.Errorf("%s\nis reported as %v", source, lines)
		}
	}
}

func TestMisnamed_ExemptsOnlyTestFunctions(t *testing.T) {
	is := is.New(t)
	const prose = "// Whatever is lost comes back.\n"
	test := "package sample\n\n" + prose + "func TestLoss(t *testing.T) {}\n"
	is.Equal(len(reported(t, "internal/sample/x_test.go", test)), 0)
	is.Equal(len(reported(t, "internal/sample/x.go", test)), 1)
	helper := "package sample\n\n" + prose + "func lose() {}\n"
	is.Equal(len(reported(t, "internal/sample/x_test.go", helper)), 1)
}
