package api

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// listen listens on an unused port until the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// acceptEach serves each connection of a listener, until the listener is closed.
func acceptEach(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// newRegistryAnswering returns the address of a registry that answers every call with status.
func newRegistryAnswering(t *testing.T, status int) ids.Address {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { WriteError(rw, status, "so") }))
	t.Cleanup(s.Close)
	return ids.Address(strings.TrimPrefix(s.URL, "http://"))
}

// newBreakingRegistry returns the address of a registry that closes every connection.
func newBreakingRegistry(t *testing.T) ids.Address {
	t.Helper()
	l := listen(t)
	go acceptEach(l, func(c net.Conn) { _ = c.Close() })
	return ids.Address(l.Addr().String())
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) ids.Address {
	t.Helper()
	l := listen(t)
	is.New(t).NoErr(l.Close())
	return ids.Address(l.Addr().String())
}

// forwarderTo returns a forwarder to registries.
func forwarderTo(registries ...ids.Address) *Forwarder {
	return NewForwarder(func() []ids.Address { return registries })
}

// forward makes a call through a forwarder.
func forward(f *Forwarder, method string) *httptest.ResponseRecorder {
	rw := httptest.NewRecorder()
	f.ServeHTTP(rw, httptest.NewRequest(method, "/v1/services/wader", strings.NewReader("{}")))
	return rw
}
