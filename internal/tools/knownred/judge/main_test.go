package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

const (
	redRun   = `{"Action":"run","Package":"m/a","Test":"TestX"}\n{"Action":"fail","Package":"m/a","Test":"TestX"}\n{"Action":"output","Package":"m/a","Output":"FAIL\\n"}\n{"Action":"fail","Package":"m/a"}\n`
	greenRun = `{"Action":"run","Package":"m/a","Test":"TestX"}\n{"Action":"pass","Package":"m/a","Test":"TestX"}\n{"Action":"pass","Package":"m/a"}\n`
)

// TestRun checks that the exit code of the command and a malformed list fail the run, and that a
// missing list is empty.
func TestRun(t *testing.T) {
	is := is.New(t)
	at := filepath.Join(t.TempDir(), "list")
	// The trailing # turns the flag that run appends into a comment.
	red, green := `printf '`+redRun+`'; exit 1 #`, `printf '`+greenRun+`' #`
	is.NoErr(run(at, green))
	is.True(run(at, red) != nil)                               // a failed test, no list
	is.True(run(at, `printf '`+greenRun+`'; exit 1 #`) != nil) // go test failed without a failed test
	is.True(run(at, `exit 0 #`) != nil)                        // no package was tested
	is.NoErr(os.WriteFile(at, []byte("# known\nm/a.TestX | why | 1\n"), 0o644))
	is.NoErr(run(at, red))
	is.True(run(at, green) != nil) // the listed test passes
	is.NoErr(os.WriteFile(at, []byte("m/a.TestX\n"), 0o644))
	is.True(run(at, red) != nil) // the entry has no cause
}
