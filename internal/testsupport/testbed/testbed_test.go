package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type apiResponse struct {
	status int
	body   string
	header http.Header
}

func call(t *testing.T, method, at, path, body string, head ...string) apiResponse {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+at+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(head); i += 2 {
		req.Header.Set(head[i], head[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return apiResponse{res.StatusCode, string(raw), res.Header}
}

// The whole path in real processes: founded, driven through any daemon, under
// load with kills of each kind and a core machine swapped for a blank one.
func TestFleetOfProcesses(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var out bytes.Buffer
	s, err := Start(ctx, Options{Plan: "small", Dir: t.TempDir(), Out: &out})
	is.NoErr(err)
	defer s.Close()
	checkControlAPI(t, s)
	checkRejectedCalls(t, s)
	checkBadRequests(t, s)
	checkBadCommands(t, s)
	s.RunLoad(ctx, 6*time.Second, func(context.Context) {
		for _, name := range []string{"proxy-1", "registry-1", "store-2"} {
			p := s.Find(name)
			s.MarkImpaired(p, time.Now().Add(time.Minute))
			s.Kill(p)
			is.NoErr(s.Fleet.StartProcess(p))
		}
		_, err := s.ReplaceStore(s.Find("store-3"))
		is.NoErr(err)
		_, err = s.AwaitReady(ctx, time.Minute)
		is.NoErr(err) // whole again, the blank one included
	})
	broken := s.Report(time.Time{})
	t.Log(out.String())
	is.Equal(broken, 0) // broken promises
	is.True(s.Checker.CountByClass(time.Time{})["answered"] > 0)
	// What was accepted before all that reads back right through any daemon.
	for _, p := range s.Processes {
		if !p.Stopped {
			is.True(strings.Contains(call(t, "GET", p.HTTP, "/v1/services/papers", "").body, `"body":{"tier":4}`))
		}
	}
}

// checkControlAPI drives the fleet through one daemon of each kind.
func checkControlAPI(t *testing.T, s *Testbed) {
	is := is.New(t)
	proxy, registry, stock := s.ProcessesOf("proxy")[0].HTTP, s.ProcessesOf("registry")[1].HTTP, s.ProcessesOf("store")[2].HTTP
	p := call(t, "PUT", proxy, "/v1/services/papers", `{"tier":4}`)
	is.Equal(p.status, 200)
	var got struct{ Version uint64 }
	for _, at := range []string{proxy, registry, stock} {
		p = call(t, "GET", at, "/v1/services/papers", "")
		is.Equal(p.status, 200)
		old := got.Version
		is.NoErr(json.Unmarshal([]byte(p.body), &got))
		is.True(old == 0 || old == got.Version) // the same truth everywhere
	}
	is.Equal(call(t, "PUT", stock, "/v1/services/papers", `{}`, "If-Match", "1").status, 409)
	is.Equal(call(t, "DELETE", registry, "/v1/services/catalog", "").status, 400) // a route uses it
	is.Equal(call(t, "GET", proxy, "/v1/routes/none", "").status, 404)
	is.Equal(call(t, "GET", registry, "/v1/where?cell=cell-a1&route=none", "").status, 404)
	is.Equal(call(t, "POST", registry, "/v1/cells/cell-a1/flood", "").status, 404)
	id := "resent-1"
	a := call(t, "PUT", registry, "/v1/services/resent", `{"tier":1}`, "Change-Id", id)
	b := call(t, "PUT", proxy, "/v1/services/resent", `{"tier":1}`, "Change-Id", id)
	is.Equal(a.status, 200)
	is.Equal(a.body, b.body) // the first result, not a second version
	// The command line, through a store.
	cli := exec.Command(filepath.Join(s.Bin, "dunlinwell"), "--at", stock, "service", "remove", "resent")
	is.NoErr(cli.Run())
	cli = exec.Command(filepath.Join(s.Bin, "dunlinwell"), "--at", registry, "service", "get", "resent")
	is.True(cli.Run() != nil)
	is.Equal(cli.ProcessState.ExitCode(), 3)
	// A bad param: one line that names it, and exit 2.
	bad := exec.Command(filepath.Join(s.Bin, "proxy"), "--name", "x", "--address", "nowhere", "--http", "127.0.0.1:1", "--cell", "c", "--seeds", "a,b,c")
	line, _ := bad.CombinedOutput()
	is.Equal(bad.ProcessState.ExitCode(), 2)
	is.True(strings.Contains(string(line), "--address") && strings.Count(string(line), "\n") == 1)
	// A data folder held by another process.
	held := s.ProcessesOf("store")[0]
	second := exec.Command(filepath.Join(s.Bin, "store"), "--name", "x", "--address", "127.0.0.1:1", "--http", "127.0.0.1:2", "--cell", "c",
		"--seeds", "127.0.0.1:1,127.0.0.1:3,127.0.0.1:4", "--data", held.Data)
	line, _ = second.CombinedOutput()
	is.Equal(second.ProcessState.ExitCode(), 2)
	is.True(strings.Contains(string(line), "another process holds it"))
}

// checkRejectedCalls are bad calls: each is rejected, and nothing changes.
func checkRejectedCalls(t *testing.T, s *Testbed) {
	is := is.New(t)
	at := s.ProcessesOf("registry")[0].HTTP
	before := call(t, "GET", at, "/v1/policy", "").body
	for path, body := range map[string]string{
		"/v1/change":   `{"id":"b","changes":[{"kind":"service","name":"ok","put":{}},{"kind":"route","name":"r","put":{"prefix":"/r","service":"none","repeatable":true}}]}`,
		"/v1/announce": `{"instance":"x","service":"catalog"}`,
	} {
		p := call(t, "POST", at, path, body)
		is.Equal(p.status, 400)
		is.True(strings.Contains(p.body, "errors"))
	}
	is.Equal(call(t, "POST", at, "/v1/change", strings.Repeat(" ", 2<<20)).status, 413)
	is.Equal(call(t, "PUT", at, "/v1/services/x", `{}},{"kind":"service"`).status, 400)
	is.Equal(call(t, "PUT", at, "/v1/services/x", `{}`, "If-Match", "new").status, 400)
	is.Equal(call(t, "GET", at, "/v1/policy", "").body, before)
	// A frame that is none closes its connection and harms nobody.
	c := s.ProcessesOf("store")[0].Address
	p, err := http.Get("http://" + c + "/")
	if err == nil {
		p.Body.Close()
	}
	is.Equal(call(t, "GET", at, "/v1/policy", "").body, before)
}
