package proxy

import (
	"bufio"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// listen opens a listener that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// acceptAll serves each connection in its own goroutine, until the listener is closed.
func acceptAll(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// fakeTarget is a target that writes raw response bytes, so that it can send invalid ones.
type fakeTarget struct {
	net.Listener
	// requests and connections count received requests and accepted connections.
	requests    atomic.Int64
	connections atomic.Int64
	// identity is its identity document.
	identity string
	// respond returns the raw bytes of a response; "" closes the connection.
	respond func(r *http.Request) string
	// header is the header of the last request.
	header atomic.Pointer[http.Header]
}

func newFakeTarget(t *testing.T) *fakeTarget {
	t.Helper()
	f := &fakeTarget{Listener: listen(t), identity: `{"instance":"t","service":"s"}`, respond: validResponse}
	go acceptAll(f.Listener, f.serve)
	return f
}

func (f *fakeTarget) serve(conn net.Conn) {
	f.connections.Add(1)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == IdentityPath {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(f.identity), f.identity)
			continue
		}
		f.requests.Add(1)
		header := request.Header.Clone()
		f.header.Store(&header)
		response := f.respond(request)
		if response == "" {
			return
		}
		_, _ = io.WriteString(conn, response)
	}
}

// validResponse returns a complete response of the native protocol.
func validResponse(r *http.Request) string { return responseWithDigest(r, "hello", "hello") }

// responseWithDigest returns a response of the native protocol whose digest is that of digestOf.
func responseWithDigest(r *http.Request, body, digestOf string) string {
	digest := sha256.Sum256([]byte(digestOf))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Digest: sha-256=:%s:\r\nRequest-Id: %s\r\nIdempotency-Key: %s\r\nKeep-Alive: timeout=9\r\n\r\n%s",
		len(body), base64.StdEncoding.EncodeToString(digest[:]), r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key"), body)
}

// plainResponse returns a response of plainProtocol.
func plainResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nId: %s\r\n\r\n%s", len(body), id, body)
}

// echoResponse returns a response of plainProtocol whose body contains the request's ID.
func echoResponse(r *http.Request) string {
	id := r.Header.Get("Id")
	return plainResponse(id, "of "+id)
}
