package doccheck

import (
	"fmt"
	"go/ast"
	"go/token"
	"path/filepath"
	"strings"
	"unicode"
	"unicode/utf8"

	"dunlinwell/internal/tools/ratchet"
)

// articles may precede the name of a type at the start of its comment.
var articles = []string{"A ", "An ", "The "}

// check is the name of this check in the list.
const check = "doc"

// firstWords is the number of words that a finding quotes from the comment.
const firstWords = 5

// misnamed returns a finding for each doc comment in a file that does not begin with the item's
// name, for exported and unexported items. The path is relative to the module's root.
func misnamed(files *token.FileSet, file *ast.File, path string) []ratchet.Finding {
	var found []ratchet.Finding
	wrong := func(doc *ast.CommentGroup, item string) {
		words := strings.Fields(doc.Text())
		quoted := strings.Join(words[:min(len(words), firstWords)], " ")
		text := fmt.Sprintf("the comment on %s begins %q", item, quoted)
		found = append(found, ratchet.Finding{File: path, Line: files.Position(doc.Pos()).Line, Check: check, Text: text})
	}
	if file.Doc != nil && !packageIsNamed(file, path) {
		wrong(file.Doc, "package "+file.Name.Name)
	}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if !isTest(d, path) && !beginsWith(d.Doc, d.Name.Name) {
				wrong(d.Doc, d.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				doc := docOf(d, spec)
				names, isType := namesOf(spec)
				if !beginsWithAny(doc, names, isType) {
					wrong(doc, strings.Join(names, ", "))
				}
			}
		}
	}
	return found
}

// isTest reports whether a function is a test, benchmark or fuzz test. The comments of those may
// begin with any words.
func isTest(d *ast.FuncDecl, path string) bool {
	called := strings.HasPrefix(d.Name.Name, "Test") || strings.HasPrefix(d.Name.Name, "Benchmark") || strings.HasPrefix(d.Name.Name, "Fuzz")
	return called && d.Recv == nil && strings.HasSuffix(path, "_test.go")
}

// packageIsNamed reports whether a package comment begins with "Package name", or for a command with
// "Command name" or "Name".
func packageIsNamed(file *ast.File, path string) bool {
	if file.Name.Name != "main" {
		return beginsWith(file.Doc, "Package "+file.Name.Name)
	}
	name := filepath.Base(filepath.Dir(path))
	first, size := utf8.DecodeRuneInString(name)
	return beginsWith(file.Doc, "Command "+name) || beginsWith(file.Doc, string(unicode.ToUpper(first))+name[size:])
}

// docOf returns the doc comment of a spec: its own, or that of the declaration if it has no
// parentheses. The comment on a group belongs to no single item.
func docOf(d *ast.GenDecl, spec ast.Spec) *ast.CommentGroup {
	if !d.Lparen.IsValid() {
		return d.Doc
	}
	switch s := spec.(type) {
	case *ast.TypeSpec:
		return s.Doc
	case *ast.ValueSpec:
		return s.Doc
	}
	return nil
}

// namesOf returns the names that a spec declares, and whether it declares a type.
func namesOf(spec ast.Spec) (names []string, isType bool) {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		return []string{s.Name.Name}, true
	case *ast.ValueSpec:
		for _, name := range s.Names {
			names = append(names, name.Name)
		}
	}
	return names, false
}

// beginsWithAny reports whether a comment begins with one of the names, or for a type with an
// article and the name. It returns true without names, as for an import.
func beginsWithAny(doc *ast.CommentGroup, names []string, isType bool) bool {
	for _, name := range names {
		if beginsWith(doc, name) {
			return true
		}
		for _, article := range articles {
			if isType && beginsWith(doc, article+name) {
				return true
			}
		}
	}
	return len(names) == 0
}

// beginsWith reports whether a comment's first words are the given ones. It returns true for a
// missing comment and for one that holds only directives.
func beginsWith(doc *ast.CommentGroup, words string) bool {
	if doc == nil {
		return true
	}
	text := strings.Join(strings.Fields(doc.Text()), " ")
	if text == "" {
		return true
	}
	rest, found := strings.CutPrefix(text, words)
	next, _ := utf8.DecodeRuneInString(rest)
	return found && next != '_' && !unicode.IsLetter(next) && !unicode.IsDigit(next)
}
