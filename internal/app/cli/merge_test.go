package cli

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

func TestRun_MergeAndEvacuate(t *testing.T) {
	is := is.New(t)
	var calls []string
	status := 200
	at := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		calls = append(calls, r.Method+" "+r.URL.Path+" "+r.Header.Get("If-Match")+" "+string(raw))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"id":"x","revision":4,"items":[{"kind":"service","name":"wader","version":7}]}`)
	}))
	defer at.Close()
	file := filepath.Join(t.TempDir(), "items.json")
	is.NoErr(os.WriteFile(file, []byte(`{"items":[]}`), 0o600))
	line := func(words ...string) (string, int) {
		var out bytes.Buffer
		err := run(words, func(cli CLI) *Context {
			return &Context{Address: strings.TrimPrefix(at.URL, "http://"), JSON: cli.JSON, Out: &out, Timeout: cli.Timeout}
		}, kong.Exit(func(int) {}))
		var e *ExitError
		if errors.As(err, &e) {
			return e.Reason, e.Code
		}
		return out.String(), 0
	}
	said, code := line("merge", file)
	is.Equal(code, 0)
	is.Equal(said, "merged: revision 4\n  service wader version 7 holds\n")
	_, code = line("cell", "shut", "quay", "--version", "3")
	is.Equal(code, 0)
	_, code = line("cell", "open", "quay")
	is.Equal(code, 0)
	revision := "GET /v1/revision  " // for the ids of changes
	is.Equal(calls, []string{`POST /v1/merge  {"items":[]}`, revision, "POST /v1/cells/quay/shut 3 ", revision, "POST /v1/cells/quay/open  "})
	for s, want := range map[int]int{400: ExitRejected, 503: ExitUnreachable, 504: ExitIndeterminate} {
		status = s
		_, code = line("merge", file)
		is.Equal(code, want)
	}
	said, _ = line("merge", file+".none")
	is.True(strings.Contains(said, "no such file"))
}
