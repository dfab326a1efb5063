package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Covers invalid requests, and requests to a proxy that has no valid lease yet.
func TestHandleClientRequest_RejectsInvalidRequests(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon()
	call := func(method, path, body string, header map[string]string) *httptest.ResponseRecorder {
		w, r := httptest.NewRecorder(), httptest.NewRequest(method, path, strings.NewReader(body))
		for name, value := range header {
			r.Header.Set(name, value)
		}
		d.handler(true).ServeHTTP(w, r)
		return w
	}
	// Without a valid lease the proxy can't know that the route doesn't exist.
	w := call("GET", "/stock/1", "", nil)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "1")
	is.Equal(w.Header().Get("Dunlinwell-Class"), "declined")
	w = call("POST", "/orders", "", map[string]string{"Idempotency-Key": "m", "Attempt": "2"})
	is.Equal(w.Code, http.StatusGatewayTimeout)
	is.Equal(w.Header().Get("Dunlinwell-Class"), "unknown")
	d.setRoute("orders")
	is.Equal(call("GET", "/stock/1", "", nil).Code, http.StatusNotFound)
	key := map[string]string{"Idempotency-Key": "m"}
	is.Equal(call("POST", "/orders", "", nil).Code, http.StatusBadRequest) // no key
	is.Equal(call("POST", "/orders", "12345678901", key).Code, http.StatusRequestEntityTooLarge)
	for name, value := range map[string]string{"Time-Left": "soon", "Attempt": "0", "Idempotency-Key": strings.Repeat("x", 300)} {
		header := map[string]string{"Idempotency-Key": "m"}
		header[name] = value
		is.Equal(call("POST", "/orders", "", header).Code, http.StatusBadRequest)
	}
	is.Equal(call("GET", "/readyz", "", nil).Code, http.StatusServiceUnavailable)
	is.Equal(call("GET", "/healthz", "", nil).Code, http.StatusOK)
}
