package testbed

import (
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// apiResponse is a response of the control API.
type apiResponse struct {
	status int
	body   string
	header http.Header
}

// call calls the control API at an address; headers alternates names and values.
func call(t *testing.T, method, address, path, body string, headers ...string) apiResponse {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return apiResponse{res.StatusCode, string(raw), res.Header}
}

// checkControlAPI changes and reads the configuration through one daemon of each role.
func checkControlAPI(t *testing.T, tb *Testbed) {
	is := is.New(t)
	proxy, registry, store := tb.ProcessesOf("proxy")[0].HTTP, tb.ProcessesOf("registry")[1].HTTP, tb.ProcessesOf("store")[2].HTTP
	p := call(t, "PUT", proxy, "/v1/services/papers", `{"tier":4}`)
	is.Equal(p.status, 200)
	var got struct{ Version uint64 }
	for _, at := range []string{proxy, registry, store} {
		p = call(t, "GET", at, "/v1/services/papers", "")
		is.Equal(p.status, 200)
		old := got.Version
		is.NoErr(json.Unmarshal([]byte(p.body), &got))
		is.True(old == 0 || old == got.Version) // the same version at every daemon
	}
	is.Equal(call(t, "PUT", store, "/v1/services/papers", `{}`, "If-Match", "1").status, 409)
	is.Equal(call(t, "DELETE", registry, "/v1/services/catalog", "").status, 400) // in use by a route
	is.Equal(call(t, "GET", proxy, "/v1/routes/none", "").status, 404)
	is.Equal(call(t, "GET", registry, "/v1/where?cell=cell-a1&route=none", "").status, 404)
	is.Equal(call(t, "POST", registry, "/v1/cells/cell-a1/flood", "").status, 404)
	id := "resent-1"
	first := call(t, "PUT", registry, "/v1/services/resent", `{"tier":1}`, "Change-Id", id)
	again := call(t, "PUT", proxy, "/v1/services/resent", `{"tier":1}`, "Change-Id", id)
	is.Equal(first.status, 200)
	is.Equal(first.body, again.body) // the first result, not a second version
	// The command-line tool through a store.
	cli := exec.Command(filepath.Join(tb.Bin, "dunlinwell"), "--at", store, "service", "remove", "resent")
	is.NoErr(cli.Run())
	cli = exec.Command(filepath.Join(tb.Bin, "dunlinwell"), "--at", registry, "service", "get", "resent")
	is.True(cli.Run() != nil)
	is.Equal(cli.ProcessState.ExitCode(), 3)
	// An invalid flag yields one line that names it, and exit code 2.
	bad := exec.Command(filepath.Join(tb.Bin, "proxy"), "--name", "x", "--address", "nowhere", "--http", "127.0.0.1:1", "--cell", "c", "--seeds", "a,b,c")
	line, _ := bad.CombinedOutput()
	is.Equal(bad.ProcessState.ExitCode(), 2)
	is.True(strings.Contains(string(line), "--address") && strings.Count(string(line), "\n") == 1)
	// A store doesn't start if another process has locked its data directory.
	running := tb.ProcessesOf("store")[0]
	second := exec.Command(filepath.Join(tb.Bin, "store"), "--name", "x", "--address", "127.0.0.1:1", "--http", "127.0.0.1:2", "--cell", "c",
		"--seeds", "127.0.0.1:1,127.0.0.1:3,127.0.0.1:4", "--data", running.Data)
	line, _ = second.CombinedOutput()
	is.Equal(second.ProcessState.ExitCode(), 2)
	is.True(strings.Contains(string(line), "locked by another process"))
}

// checkRejectedCalls checks that invalid calls are rejected, and that the configuration
// doesn't change.
func checkRejectedCalls(t *testing.T, tb *Testbed) {
	is := is.New(t)
	at := tb.ProcessesOf("registry")[0].HTTP
	before := call(t, "GET", at, "/v1/policy", "").body
	for path, body := range map[string]string{
		"/v1/change":   `{"id":"b","changes":[{"kind":"service","name":"ok","put":{}},{"kind":"route","name":"r","put":{"prefix":"/r","service":"none","repeatable":true}}]}`,
		"/v1/announce": `{"instance":"x","service":"catalog"}`,
	} {
		res := call(t, "POST", at, path, body)
		is.Equal(res.status, 400)
		is.True(strings.Contains(res.body, "errors"))
	}
	is.Equal(call(t, "POST", at, "/v1/change", strings.Repeat(" ", 2<<20)).status, 413)
	is.Equal(call(t, "PUT", at, "/v1/services/x", `{}},{"kind":"service"`).status, 400)
	is.Equal(call(t, "PUT", at, "/v1/services/x", `{}`, "If-Match", "new").status, 400)
	is.Equal(call(t, "GET", at, "/v1/policy", "").body, before)
	// Bytes that aren't a valid frame have no effect other than closing their connection.
	store := tb.ProcessesOf("store")[0].Address
	res, err := http.Get("http://" + store + "/")
	if err == nil {
		_ = res.Body.Close()
	}
	is.Equal(call(t, "GET", at, "/v1/policy", "").body, before)
}
