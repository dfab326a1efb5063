package api

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// newMergingServer gives a server whose registry merges at once, and the registry's
// configuration.
func newMergingServer(t *testing.T) (*Server, **configuration.Document) {
	t.Helper()
	document, err := configuration.Decode(nil)
	is.New(t).NoErr(err)
	s := &Server{}
	s.Put = func(ev any) {
		call := ev.(registry.MergeCall)
		var result configuration.Result
		document, result = document.Merge(call.Body)
		status := 200
		if !result.Accepted() {
			status = 400
		}
		go s.HandleResponse(registry.Response{ID: call.ID, Status: status, Body: result})
	}
	return s, &document
}

// post sends a call to a handler.
func post(handler http.Handler, path, body string) *httptest.ResponseRecorder {
	rw := httptest.NewRecorder()
	handler.ServeHTTP(rw, httptest.NewRequest("POST", path, strings.NewReader(body)))
	return rw
}

const oneService = `{"items":[{"kind":"service","name":"wader","version":7,"body":{}}]}`

// A merge is answered alike by the registry and through the forwarder of another
// daemon.
func TestServer_Merge(t *testing.T) {
	server, document := newMergingServer(t)
	direct := httptest.NewServer(server.Handler())
	defer direct.Close()
	forwarder := forwarderTo(ids.Address(strings.TrimPrefix(direct.URL, "http://")))
	for _, c := range []struct {
		name    string
		handler http.Handler
	}{{"direct", server.Handler()}, {"forwarded", forwarder}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rw := post(c.handler, "/v1/merge", oneService)
			is.Equal(rw.Code, 200)
			var result configuration.Result
			is.NoErr(json.Unmarshal(rw.Body.Bytes(), &result))
			is.Equal(result.Items, []configuration.ItemVersion{{Kind: "service", Name: "wader", Version: 7}})
			is.Equal((*document).Revision, ids.Revision(1)) // the forwarded one found it merged
			rw = post(c.handler, "/v1/merge", `{"items":[{"kind":"service","name":"plover","version":7,"body":{}},{"kind":"route","name":"mud","version":7,"body":{"prefix":"/mud/","service":"none","repeatable":true}}]}`)
			is.Equal(rw.Code, 400)
			is.True(strings.Contains(rw.Body.String(), "route/mud"))
			is.Equal(post(c.handler, "/v1/merge", `{"items":`).Code, 400)
			is.Equal(post(c.handler, "/v1/merge", "").Code, 400)
			is.Equal(len((*document).Services), 1)
		})
		t.Run(c.name+", large", func(t *testing.T) {
			is := is.New(t)
			// A merge may be larger than other calls, up to a limit of its own.
			is.Equal(post(c.handler, "/v1/merge", strings.Repeat(" ", 2*maxCallBody)+oneService).Code, 200)
			is.Equal(post(c.handler, "/v1/merge", strings.Repeat(" ", maxMergeBody+1)).Code, 413)
			is.Equal(len((*document).Services), 1)
			is.Equal(post(c.handler, "/v1/change", strings.Repeat(" ", maxCallBody+1)).Code, 413)
		})
	}
}

// An expected version is an item's version, quoted or not.
func TestServer_ExpectedVersion(t *testing.T) {
	for header, want := range map[string]string{"": "", `"3"`: "3", "3": "3", "-1": "error", "x": "error", "4611686018427387904": "error"} {
		t.Run(header, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest("PUT", "/v1/services/wader", nil)
			r.Header.Set("If-Match", header)
			version, err := expectedVersion(r)
			if want == "error" {
				is.True(errors.Is(err, ErrInvalidVersion))
				is.Equal(err.Error(), "read header: If-Match must be an item's version") // callers see it
				return
			}
			is.NoErr(err)
			is.Equal(version, want)
		})
	}
}
