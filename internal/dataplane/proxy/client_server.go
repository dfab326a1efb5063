package proxy

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/state/configuration"
)

// clientServer is an HTTP server for clients with fixed limits, and its open connections.
type clientServer struct {
	server   *http.Server
	queue    *connQueue
	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*clientConn]bool
}

// newClientServer starts a server that accepts connections from its queue. connClosed is
// called once for each connection that has ended.
func newClientServer(listener net.Listener, handler http.Handler, limits configuration.Limits, connClosed func()) *clientServer {
	s := &clientServer{queue: newConnQueue(listener), conns: map[*clientConn]bool{}}
	s.server = &http.Server{
		Handler:           s.wrapHandler(handler),
		ConnContext:       api.WithConn,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeoutMillis) * time.Millisecond,
		IdleTimeout:       time.Duration(limits.IdleTimeoutMillis) * time.Millisecond,
		ConnState: func(conn net.Conn, state http.ConnState) {
			s.trackConn(conn, state)
			if state == http.StateClosed || state == http.StateHijacked {
				connClosed()
			}
		},
	}
	// Serve returns only after the queue was closed.
	go func() { _ = s.server.Serve(s.queue) }()
	return s
}

// drain stops accepting connections and closes the idle ones immediately, the others after
// their current response.
func (s *clientServer) drain() {
	s.queue.close()
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.closeWhenIdle()
	}
}

// trackConn maintains the set of the server's connections and their idle state.
func (s *clientServer) trackConn(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		if s.draining.Load() {
			c.closeWhenIdle()
		}
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	default:
		c.setIdle(state == http.StateIdle)
	}
}

// wrapHandler wraps a handler so that responses of a draining server close their connection.
func (s *clientServer) wrapHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&drainingWriter{ResponseWriter: w, server: s}, r)
	})
}

// drainingWriter sets Connection: close on a response if the server is draining when the
// header is written.
type drainingWriter struct {
	http.ResponseWriter
	server        *clientServer
	headerWritten bool
}

func (w *drainingWriter) WriteHeader(status int) {
	w.headerWritten = true
	if w.server.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *drainingWriter) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *drainingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// connQueue is a net.Listener that returns the connections accepted by the clientListener,
// for one server.
type connQueue struct {
	net.Listener
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newConnQueue(listener net.Listener) *connQueue {
	return &connQueue{Listener: listener, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return &clientConn{Conn: conn}, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the queue, but not the underlying listener.
func (q *connQueue) Close() error {
	q.close()
	return nil
}

func (q *connQueue) close() {
	q.closeOnce.Do(func() { close(q.closed) })
}
