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

// newMergingServer returns a server whose registry merges without stores, and the registry's
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

// post makes a POST call to a handler.
func post(handler http.Handler, path, body string) *httptest.ResponseRecorder {
	rw := httptest.NewRecorder()
	handler.ServeHTTP(rw, httptest.NewRequest("POST", path, strings.NewReader(body)))
	return rw
}

const oneService = `{"items":[{"kind":"service","name":"wader","version":7,"body":{}}]}`

// A merge must get the same answers from the registry and through another daemon's forwarder.
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
			is.Equal((*document).Revision, ids.Revision(1)) // merging the same item again changes nothing
			rw = post(c.handler, "/v1/merge", `{"items":[{"kind":"service","name":"plover","version":7,"body":{}},{"kind":"route","name":"mud","version":7,"body":{"prefix":"/mud/","service":"none","repeatable":true}}]}`)
			is.Equal(rw.Code, 400)
			is.True(strings.Contains(rw.Body.String(), "route/mud"))
			is.Equal(post(c.handler, "/v1/merge", `{"items":`).Code, 400)
			is.Equal(post(c.handler, "/v1/merge", "").Code, 400)
			is.Equal(len((*document).Services), 1)
		})
		t.Run(c.name+", large", func(t *testing.T) {
			is := is.New(t)
			// A merge may be larger than other calls, up to maxMergeBody.
			is.Equal(post(c.handler, "/v1/merge", strings.Repeat(" ", 2*maxCallBody)+oneService).Code, 200)
			is.Equal(post(c.handler, "/v1/merge", strings.Repeat(" ", maxMergeBody+1)).Code, 413)
			is.Equal(len((*document).Services), 1)
			is.Equal(post(c.handler, "/v1/change", strings.Repeat(" ", maxCallBody+1)).Code, 413)
		})
	}
}

// The If-Match header holds a version, with or without quotes.
func TestServer_ExpectedVersion(t *testing.T) {
	for header, want := range map[string]string{"": "", `"3"`: "3", "3": "3", "-1": "error", "x": "error", "4611686018427387904": "error"} {
		t.Run(header, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest("PUT", "/v1/services/wader", nil)
			r.Header.Set("If-Match", header)
			version, err := expectedVersion(r)
			if want == "error" {
				is.True(errors.Is(err, ErrInvalidVersion))
				is.Equal(err.Error(), "read header: If-Match must be an item's version") // part of the HTTP answer
				return
			}
			is.NoErr(err)
			is.Equal(version, want)
		})
	}
}
