package api

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// newMergingServer is a window whose registry merges at once.
func newMergingServer() (*Server, **configuration.Document) {
	p, _ := configuration.Decode(nil)
	w := &Server{}
	w.Put = func(ev any) {
		c := ev.(registry.MergeCall)
		var r configuration.Result
		p, r = p.Merge(c.Body)
		status := 200
		if !r.Accepted() {
			status = 400
		}
		go w.HandleResponse(registry.Response{ID: c.ID, Status: status, Body: r})
	}
	return w, &p
}

// The page itself, and any other daemon's forward to it.
func TestServer_Merge(t *testing.T) {
	is := is.New(t)
	w, p := newMergingServer()
	at := httptest.NewServer(w.Handler())
	defer at.Close()
	ferry := NewForwarder(func() []ids.Address {
		return []ids.Address{ids.Address(strings.TrimPrefix(at.URL, "http://"))}
	})
	for _, h := range []http.Handler{w.Handler(), ferry} {
		call := func(body string) *httptest.ResponseRecorder {
			rw := httptest.NewRecorder()
			h.ServeHTTP(rw, httptest.NewRequest("POST", "/v1/merge", strings.NewReader(body)))
			return rw
		}
		rw := call(`{"items":[{"kind":"service","name":"wader","version":7,"body":{}}]}`)
		is.Equal(rw.Code, 200)
		var r configuration.Result
		is.NoErr(json.Unmarshal(rw.Body.Bytes(), &r))
		is.Equal(r.Items, []configuration.ItemVersion{{Kind: "service", Name: "wader", Version: 7}})
		is.Equal((*p).Revision, ids.Revision(1)) // the second one found it merged
		rw = call(`{"items":[{"kind":"service","name":"plover","version":7,"body":{}},{"kind":"route","name":"mud","version":7,"body":{"prefix":"/mud/","service":"none","repeatable":true}}]}`)
		is.Equal(rw.Code, 400)
		is.True(strings.Contains(rw.Body.String(), "route/mud"))
		is.Equal(call(`{"items":`).Code, 400)
		is.Equal(call("").Code, 400)
		// Larger than other calls may be, up to a limit of its own.
		is.Equal(call(strings.Repeat(" ", 2*maxCallBody)+`{"items":[{"kind":"service","name":"wader","version":7,"body":{}}]}`).Code, 200)
		is.Equal(call(strings.Repeat(" ", maxMergeBody+1)).Code, 413)
		is.Equal(len((*p).Services), 1)
		rw = httptest.NewRecorder()
		h.ServeHTTP(rw, httptest.NewRequest("POST", "/v1/change", strings.NewReader(strings.Repeat(" ", maxCallBody+1))))
		is.Equal(rw.Code, 413)
	}
}
