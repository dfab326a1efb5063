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
	// maxCallBody is the maximum size of a call's body, in bytes.
	maxCallBody = 1 << 20
	// maxMergeBody is the maximum size of a merge's body, which may be a whole configuration.
	maxMergeBody = 64 << 20
)

// The limits of an HTTP server. They prevent slow or idle clients from holding memory.
const (
	readHeaderTimeout = 5 * time.Second
	// readTimeout allows for a body of maxMergeBody at about 20 Mbit/s.
	readTimeout    = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// retryAfter is the Retry-After value of 503 and 504 answers, in seconds.
const retryAfter = 1

// ReadBody reads the body of a call. If the body is too large or truncated, ReadBody
// writes the error answer and returns false.
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

// WriteError writes an answer with an error message.
func WriteError(rw http.ResponseWriter, status int, message string) {
	WriteResponse(rw, errorResponse(status, message))
}

// errorResponse returns a response with an error message. 503 and 504 ask the client to
// retry.
func errorResponse(status int, message string) registry.Response {
	response := registry.Response{Status: status, Body: registry.ErrorResponse{Message: message}}
	if status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
		response.RetryAfter = retryAfter
	}
	return response
}

// WriteResponse writes a response of the registry as the answer.
func WriteResponse(rw http.ResponseWriter, response registry.Response) {
	rw.Header().Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		rw.Header().Set("Retry-After", strconv.Itoa(response.RetryAfter))
	}
	rw.WriteHeader(response.Status)
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(rw).Encode(response.Body)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn stores a connection in the context of its requests. It is a ConnContext hook of
// http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection of a request, or nil if its server doesn't use WithConn.
func ConnOf(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}

// Listen listens on a TCP address for HTTP.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errs.Wrap(err, "listen", address)
}

// Serve serves a handler until the context is done. Calls in flight then have the grace
// period to finish.
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
			// The server stops in any case, so the error of Close is ignored.
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
