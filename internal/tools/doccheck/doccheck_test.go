package doccheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/tools/ratchet"
)

// moduleRoot is where go.mod lies, seen from this folder.
const moduleRoot = "../../.."

// skippedFolders hold no source of this module.
var skippedFolders = map[string]bool{".git": true, "target": true, "bin": true, "testdata": true, "journal": true}

// sourceFolders lists the folders below root that hold Go files, with or without
// those that hold tests alone.
func sourceFolders(t *testing.T, root string, tests bool) []string {
	t.Helper()
	seen := map[string]bool{}
	var folders []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && skippedFolders[entry.Name()] {
			return filepath.SkipDir
		}
		folder := filepath.Dir(path)
		if strings.HasSuffix(path, ".go") && (tests || !strings.HasSuffix(path, "_test.go")) && !seen[folder] {
			seen[folder] = true
			folders = append(folders, folder)
		}
		return nil
	})
	is.New(t).NoErr(err)
	return folders
}

// undocumented lists what a file exports without a doc comment.
func undocumented(files *token.FileSet, file *ast.File) []string {
	var missing []string
	report := func(name *ast.Ident) {
		if name.IsExported() {
			missing = append(missing, files.Position(name.Pos()).String()+" "+name.Name)
		}
	}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && receiverIsExported(d) {
				report(d.Name)
			}
		case *ast.GenDecl:
			for _, name := range undocumentedSpecs(d) {
				report(name)
			}
		}
	}
	return missing
}

// receiverIsExported tells whether a function belongs to no type or to an
// exported one: methods of others are not part of a package's interface.
func receiverIsExported(d *ast.FuncDecl) bool {
	if d.Recv == nil || len(d.Recv.List) == 0 {
		return true
	}
	receiver := d.Recv.List[0].Type
	for {
		switch r := receiver.(type) {
		case *ast.StarExpr:
			receiver = r.X
		case *ast.IndexExpr:
			receiver = r.X
		case *ast.Ident:
			return r.IsExported()
		default:
			return false
		}
	}
}

// undocumentedSpecs lists the names of a declaration that neither their own
// comment nor that of their group documents.
func undocumentedSpecs(d *ast.GenDecl) []*ast.Ident {
	if d.Doc != nil {
		return nil
	}
	var names []*ast.Ident
	for _, spec := range d.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Doc == nil && s.Comment == nil {
				names = append(names, s.Name)
			}
		case *ast.ValueSpec:
			if s.Doc == nil && s.Comment == nil {
				names = append(names, s.Names...)
			}
		}
	}
	return names
}

// unclean lists the folders whose comments don't yet name their items.
const unclean = ".ci/unclean-docs.txt"

func TestEveryExportedItemIsDocumented(t *testing.T) {
	for _, folder := range sourceFolders(t, moduleRoot, false) {
		documented := false
		paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
		is.New(t).NoErr(err)
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
			is.New(t).NoErr(err)
			documented = documented || file.Doc != nil
			for _, missing := range undocumented(files, file) {
				t.Errorf("no doc comment: %s", missing)
			}
		}
		if !documented {
			t.Errorf("the package in %s has no doc comment", folder)
		}
	}
}

// TestUndocumentedItemsAreFound checks the check: it must find what has no comment.
func TestUndocumentedItemsAreFound(t *testing.T) {
	const source = `// Package sample is documented.
package sample

type Bare struct{}

func (Bare) Method() {}

// Documented has a comment.
func Documented() {}

const (
	Loud = 1
	quiet = 2
)
`
	is := is.New(t)
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, "sample.go", source, parser.ParseComments)
	is.NoErr(err)
	is.Equal(len(undocumented(files, file)), 3)
}

func TestEveryCommentNamesItsItem(t *testing.T) {
	is := is.New(t)
	list, err := os.Open(filepath.Join(moduleRoot, unclean))
	is.NoErr(err)
	defer func() { is.NoErr(list.Close()) }()
	entries, err := ratchet.Read(list)
	is.NoErr(err)
	var found []ratchet.Finding
	for _, folder := range sourceFolders(t, moduleRoot, true) {
		paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
		is.NoErr(err)
		for _, path := range paths {
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
			is.NoErr(err)
			name, err := filepath.Rel(moduleRoot, path)
			is.NoErr(err)
			found = append(found, misnamed(files, file, filepath.ToSlash(name))...)
		}
	}
	for _, complaint := range ratchet.Compare(entries, found) {
		t.Error(complaint)
	}
}
