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

// clientServer is one HTTP server for clients with fixed limits, and its connections.
type clientServer struct {
	server   *http.Server
	queue    *connQueue
	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*clientConn]bool
}

// newClientServer starts a server that gets its connections from a queue. connClosed is
// called once for each that has ended.
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
	// It ends with the queue, and with no other error.
	go func() { _ = s.server.Serve(s.queue) }()
	return s
}

// drain takes no more connections and closes the idle ones now, the others after the
// response that is under way.
func (s *clientServer) drain() {
	s.queue.close()
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.closeWhenIdle()
	}
}

// trackConn keeps the set of the server's connections and the state of each.
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

// wrapHandler makes responses of a draining server close their connection.
func (s *clientServer) wrapHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&drainingWriter{ResponseWriter: w, server: s}, r)
	})
}

// drainingWriter sets Connection: close on a response as it begins, if the server is
// draining by then.
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

// Unwrap lets an http.ResponseController reach the server's own writer.
func (w *drainingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// connQueue is the listener of one server: it hands over connections that the
// clientListener has accepted.
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

// Close ends the queue, but not the listener behind it.
func (q *connQueue) Close() error {
	q.close()
	return nil
}

func (q *connQueue) close() {
	q.closeOnce.Do(func() { close(q.closed) })
}
