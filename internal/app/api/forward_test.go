package api

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dunlinwell/internal/base/ids"
)

// newRegistryAnswering is a registry whose every answer has one status.
func newRegistryAnswering(t *testing.T, status int) ids.Address {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { WriteError(rw, status, "so") }))
	t.Cleanup(s.Close)
	return ids.Address(strings.TrimPrefix(s.URL, "http://"))
}

// newBreakingRegistry is an address that takes connections and closes them.
func newBreakingRegistry(t *testing.T) ids.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	return ids.Address(l.Addr().String())
}

// closedAddress is an address that refuses connections.
func closedAddress(t *testing.T) ids.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return ids.Address(l.Addr().String())
}

// A daemon handed the 503 of a registry that was cut off to its caller, though
// the next one had a majority; and where a connection broke after a change had left,
// a later 503 must not promise that it has no effect.
func TestForwarder_TriesNextRegistry(t *testing.T) {
	apart, with, broken, none := newRegistryAnswering(t, 503), newRegistryAnswering(t, 200), newBreakingRegistry(t), closedAddress(t)
	for _, c := range []struct {
		name       string
		method     string
		registries []ids.Address
		want       int
	}{
		{"the first has a majority", "PUT", []ids.Address{with, apart}, 200},
		{"the first is cut off", "PUT", []ids.Address{apart, with}, 200},
		{"the first is down", "PUT", []ids.Address{none, with}, 200},
		{"all are cut off", "PUT", []ids.Address{apart, apart}, 503},
		{"all are down", "PUT", []ids.Address{none, none}, 503},
		{"none is known", "PUT", nil, 503},
		{"a circuit breaks", "PUT", []ids.Address{broken}, 504},
		{"a circuit breaks, the next is cut off", "PUT", []ids.Address{broken, apart}, 504},
		{"a read's circuit breaks, the next is cut off", "GET", []ids.Address{broken, apart}, 503},
	} {
		began := time.Now()
		rw := httptest.NewRecorder()
		NewForwarder(func() []ids.Address { return c.registries }).ServeHTTP(rw, httptest.NewRequest(c.method, "/v1/services/s", strings.NewReader("{}")))
		if rw.Code != c.want || rw.Code >= 500 && rw.Header().Get("Retry-After") == "" {
			t.Errorf("%s: %d %v", c.name, rw.Code, rw.Header())
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: answered after %s", c.name, took)
		}
	}
}
