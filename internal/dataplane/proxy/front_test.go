package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
)

func TestRouter_LongestPrefixOfWholeSegments(t *testing.T) {
	is := is.New(t)
	r := newRouter(&configuration.View{Routes: map[ids.Name]configuration.Route{
		"all": {Name: "all", Prefix: "/"}, "stock": {Name: "stock", Prefix: "/stock"}, "tiles": {Name: "tiles", Prefix: "/stock/tiles/"},
	}})
	for path, want := range map[string]ids.Name{"/": "all", "/stock": "stock", "/stock/": "stock", "/stocking": "all", "/stock/tiles": "tiles", "/stock/tiles/9": "tiles", "/stock/tilesets": "stock"} {
		got, ok := r.find("", path)
		is.True(ok)
		is.Equal(got.Name, want)
	}
	_, ok := newRouter(&configuration.View{}).find("", "/x")
	is.True(!ok)
}

// A client's own mistakes, and a proxy that knows nothing yet.
func TestHandleClientRequest_RejectsInvalidRequests(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon()
	call := func(method, path, body string, head map[string]string) *httptest.ResponseRecorder {
		w, r := httptest.NewRecorder(), httptest.NewRequest(method, path, strings.NewReader(body))
		for k, v := range head {
			r.Header.Set(k, v)
		}
		d.handler(true).ServeHTTP(w, r)
		return w
	}
	// Not in step: nobody can say yet that there is no such route.
	w := call("GET", "/stock/1", "", nil)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "1")
	is.Equal(w.Header().Get("Dunlinwell-Class"), "declined")
	w = call("POST", "/orders", "", map[string]string{"Idempotency-Key": "m", "Attempt": "2"})
	is.Equal(w.Code, http.StatusGatewayTimeout)
	is.Equal(w.Header().Get("Dunlinwell-Class"), "unknown")
	d.setRoute("orders")
	is.Equal(call("GET", "/stock/1", "", nil).Code, http.StatusNotFound)
	mark := map[string]string{"Idempotency-Key": "m"}
	is.Equal(call("POST", "/orders", "", nil).Code, http.StatusBadRequest) // no mark
	is.Equal(call("POST", "/orders", "12345678901", mark).Code, http.StatusRequestEntityTooLarge)
	for k, v := range map[string]string{"Time-Left": "soon", "Attempt": "0", "Idempotency-Key": strings.Repeat("x", 300)} {
		head := map[string]string{"Idempotency-Key": "m"}
		head[k] = v
		is.Equal(call("POST", "/orders", "", head).Code, http.StatusBadRequest)
	}
	is.Equal(call("GET", "/readyz", "", nil).Code, http.StatusServiceUnavailable)
	is.Equal(call("GET", "/healthz", "", nil).Code, http.StatusOK)
}

// setRoute lets a proxy know of one route, and that it is in force.
func (d *Daemon) setRoute(route string) {
	d.servingState.Store(&ServingState{LeaseValid: true})
	d.router.Store(newRouter(&configuration.View{Routes: map[ids.Name]configuration.Route{ids.Name(route): {Name: ids.Name(route), Prefix: "/" + route, Service: "ledger", TimeoutMillis: 1000, MaxBodyBytes: 10}}}))
}
