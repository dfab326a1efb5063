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

// The end of the command counts, and so does a list that can't be read; one
// that isn't there is empty.
func TestRun(t *testing.T) {
	is := is.New(t)
	at := filepath.Join(t.TempDir(), "list")
	// What stands for go test takes the flag that the judge adds as a comment.
	red, green := `printf '`+redRun+`'; exit 1 #`, `printf '`+greenRun+`' #`
	is.NoErr(run(at, green))
	is.True(run(at, red) != nil)                               // red, and no list
	is.True(run(at, `printf '`+greenRun+`'; exit 1 #`) != nil) // go test failed by itself
	is.True(run(at, `exit 0 #`) != nil)                        // nothing ran
	is.NoErr(os.WriteFile(at, []byte("# known\nm/a.TestX | why | 1\n"), 0o644))
	is.NoErr(run(at, red))
	is.True(run(at, green) != nil) // listed, but passes
	is.NoErr(os.WriteFile(at, []byte("m/a.TestX\n"), 0o644))
	is.True(run(at, red) != nil) // the list has no cause
}
