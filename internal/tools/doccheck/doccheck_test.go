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

// moduleRoot is the path from this folder to the one that holds go.mod.
const moduleRoot = "../../.."

// skippedFolders are the folders without source code of this module.
var skippedFolders = map[string]bool{".git": true, "target": true, "bin": true, "testdata": true, "journal": true}

// sourceFolders returns the folders below root that hold Go files. Folders that hold only test
// files are included if tests is set.
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

// undocumented returns the positions and names of a file's exported items without a doc comment.
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

// receiverIsExported reports whether a function has no receiver or one of an exported type. Methods
// of unexported types are not part of a package's API.
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

// undocumentedSpecs returns the names in a declaration that have neither a comment of their own nor
// one on their group.
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

// unclean is the path of the list of folders that still have findings.
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
			t.Errorf("no doc comment on the package in %s", folder)
		}
	}
}

// TestUndocumentedItemsAreFound checks that undocumented finds exported items without a comment.
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
	for _, problem := range ratchet.Compare(entries, found) {
		t.Error(problem)
	}
}
