package cli

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"dunlinwell/internal/controlplane/registry"
)

// testDaemon gives the same answer to every call and records the calls.
type testDaemon struct {
	*httptest.Server
	status int
	answer string
	calls  []string
}

func newTestDaemon(t *testing.T) *testDaemon {
	t.Helper()
	d := &testDaemon{status: 200, answer: `{"id":"x","revision":4,"items":[{"kind":"service","name":"wader","version":7}]}`}
	d.Server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		d.calls = append(d.calls, r.Method+" "+r.URL.Path+" "+r.Header.Get("If-Match")+" "+string(raw))
		rw.WriteHeader(d.status)
		_, _ = io.WriteString(rw, d.answer)
	}))
	t.Cleanup(d.Close)
	return d
}

// run runs a command line and returns its output, or its error, and the exit code.
func (d *testDaemon) run(words ...string) (output string, code int) {
	var out bytes.Buffer
	err := run(words, func(cli CLI) *Context {
		return &Context{Address: strings.TrimPrefix(d.URL, "http://"), JSON: cli.JSON, Out: &out, Timeout: cli.Timeout}
	}, kong.Exit(func(int) {}))
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Reason, exit.Code
	}
	return out.String(), 0
}

func TestRun_MergeAndEvacuate(t *testing.T) {
	is := is.New(t)
	daemon := newTestDaemon(t)
	file := filepath.Join(t.TempDir(), "items.json")
	is.NoErr(os.WriteFile(file, []byte(`{"items":[]}`), 0o600))
	output, code := daemon.run("merge", file)
	is.Equal(code, 0)
	is.Equal(output, "merged: revision 4\n  service wader current version 7\n")
	_, code = daemon.run("cell", "shut", "quay", "--version", "3")
	is.Equal(code, 0)
	_, code = daemon.run("cell", "open", "quay")
	is.Equal(code, 0)
	revision := "GET /v1/revision  " // for the change IDs
	is.Equal(daemon.calls, []string{`POST /v1/merge  {"items":[]}`, revision, "POST /v1/cells/quay/shut 3 ", revision, "POST /v1/cells/quay/open  "})
	output, _ = daemon.run("merge", file+".none")
	is.True(strings.Contains(output, "no such file"))
}

func TestRun_ExitCodeFollowsStatus(t *testing.T) {
	file := filepath.Join(t.TempDir(), "items.json")
	is.New(t).NoErr(os.WriteFile(file, []byte(`{"items":[]}`), 0o600))
	for status, want := range map[int]int{400: ExitRejected, 409: ExitVersionConflict, 503: ExitUnreachable, 504: ExitIndeterminate} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			daemon := newTestDaemon(t)
			daemon.status = status
			_, code := daemon.run("merge", file)
			is.New(t).Equal(code, want)
		})
	}
}

// Each command makes its expected API call.
func TestRun_CommandsMakeAPICalls(t *testing.T) {
	for command, want := range map[string]string{
		"cell empty quay":               "POST /v1/cells/quay/empty  ",
		"cell refill quay":              "POST /v1/cells/quay/refill  ",
		"service remove w --version 2":  "DELETE /v1/services/w 2 ",
		"route put r --body {}":         "PUT /v1/routes/r  {}",
		"service get w":                 "GET /v1/services/w  ",
		"route list --local":            "GET /v1/routes  ",
		"policy":                        "GET /v1/policy  ",
		"status":                        "GET /v1/status  ",
		"where --cell quay --route mud": "GET /v1/where  ",
		"core refound --accept-loss":    `POST /v1/core/refound  {"accept_loss":true}`,
	} {
		t.Run(command, func(t *testing.T) {
			is := is.New(t)
			daemon := newTestDaemon(t)
			daemon.answer = "{}"
			_, code := daemon.run(strings.Fields(command)...)
			is.Equal(code, 0)
			is.Equal(daemon.calls[len(daemon.calls)-1], want)
		})
	}
}

func TestPrintStatus(t *testing.T) {
	var out bytes.Buffer
	printStatus(&out, registry.Status{Registry: "r1", Revision: 7, InForce: true, Warnings: []string{"one", "two"}})
	is.New(t).Equal(out.String(), "revision 7, in force on every live proxy (seen by registry r1)\n\n"+
		"ZONE  USED  ACCEPT  TARGET  MAX  MAX SOURCE  PROXIES  TARGETS  STATE\n\n"+
		"MOVE  ROUTE  FRACTION  MS/S  REASON\n\n"+
		"DAEMON  ROLE  ZONE  ADDRESS  HTTP  REVISION  STATE\n\n"+
		"LEADERSHIP  EPOCH  PLAN  HELD\n\n"+
		"PROBLEMS\n  one\n  two\n")
}
