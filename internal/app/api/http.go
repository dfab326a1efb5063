package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/controlplane/registry"
)

const (
	// maxCallBody bounds the body of a call, in bytes.
	maxCallBody = 1 << 20
	// maxMergeBody bounds the body of a merge, which may be a whole configuration.
	maxMergeBody = 64 << 20
)

// The limits of an HTTP server. They keep a slow or idle client from holding memory.
const (
	readHeaderTimeout = 5 * time.Second
	// readTimeout leaves room for a maxMergeBody at some 20 Mbit/s.
	readTimeout    = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// retryAfter is how long the answers 503 and 504 ask a client to wait, in seconds.
const retryAfter = 1

// ReadBody reads a call's body. For a body that is too large or ends early it writes
// the answer itself, and reports false.
func ReadBody(rw http.ResponseWriter, r *http.Request) ([]byte, bool) {
	limit := int64(maxCallBody)
	if r.URL.Path == mergePath {
		limit = maxMergeBody
	}
	raw, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		WriteError(rw, http.StatusRequestEntityTooLarge, "body over the limit of "+strconv.FormatInt(limit, 10)+" bytes")
		return nil, false
	}
	if err != nil {
		WriteError(rw, http.StatusBadRequest, "the body ended early")
		return nil, false
	}
	return raw, true
}

// WriteError answers with a message.
func WriteError(rw http.ResponseWriter, status int, message string) {
	WriteResponse(rw, errorResponse(status, message))
}

// errorResponse gives the response with a message. 503 and 504 ask to retry.
func errorResponse(status int, message string) registry.Response {
	response := registry.Response{Status: status, Body: registry.ErrorResponse{Message: message}}
	if status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
		response.RetryAfter = retryAfter
	}
	return response
}

// WriteResponse answers with a response of the registry.
func WriteResponse(rw http.ResponseWriter, response registry.Response) {
	rw.Header().Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		rw.Header().Set("Retry-After", strconv.Itoa(response.RetryAfter))
	}
	rw.WriteHeader(response.Status)
	// It fails only if the client is gone; there is nobody left to tell.
	_ = json.NewEncoder(rw).Encode(response.Body)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn adds a connection to the context of its requests: a ConnContext of http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf gives the connection that a request came on; nil if its server has no WithConn.
func ConnOf(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}

// Listen opens an address for HTTP.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errs.Wrap(err, "listen", address)
}

// Serve serves a handler until the context ends. Calls under way may then take for the
// grace period to finish.
func Serve(ctx context.Context, l net.Listener, handler http.Handler, grace time.Duration) error {
	server := &http.Server{
		Handler: handler, ConnContext: WithConn, ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdown, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		if server.Shutdown(shutdown) != nil {
			// Closing is the last resort; its error changes nothing.
			_ = server.Close()
		}
	})
	err := server.Serve(l)
	if !stop() {
		<-stopped
		return ctx.Err()
	}
	return errs.Wrap(err, "serve", l.Addr().String())
}
