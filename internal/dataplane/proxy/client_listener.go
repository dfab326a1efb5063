package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunlinwell/internal/state/configuration"
)

// clientListener accepts client connections under the configured limits, until a graceful
// shutdown. An http.Server's limits can't change after it has started, so new limits start a
// new server, and the old one is drained.
type clientListener struct {
	handler  http.Handler
	listener net.Listener
	mu       sync.Mutex
	limits   configuration.Limits
	server   *clientServer
	// openConns counts the open connections of all servers. lastConnClosed is signaled when
	// the count reaches zero.
	openConns      atomic.Int64
	lastConnClosed chan struct{}
}

const (
	// acceptRetryDelay is the delay before accepting again after a transient error, such as
	// a lack of file descriptors or memory.
	acceptRetryDelay = 20 * time.Millisecond
	// lameDuckPeriod is how long connections are still accepted after the signal to stop,
	// for clients that resolved this proxy's address just before. The native frontend
	// rejects their requests immediately; other frontends may still serve them. It is
	// limited to a third of the grace period, which is shorter by default.
	lameDuckPeriod = 1200 * time.Millisecond
)

func newClientListener(listener net.Listener, handler http.Handler) *clientListener {
	l := &clientListener{handler: handler, listener: listener, lastConnClosed: make(chan struct{}, 1)}
	l.setLimits(configuration.DefaultLimits)
	return l
}

// setLimits starts a server with new limits and drains the old one. It does nothing if the
// limits are unchanged.
func (l *clientListener) setLimits(limits configuration.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil && l.limits == limits {
		return
	}
	old := l.server
	l.limits = limits
	l.server = newClientServer(l.listener, l.handler, limits, l.connClosed)
	if old != nil {
		old.drain()
	}
}

// connClosed decrements openConns and signals lastConnClosed at zero.
func (l *clientListener) connClosed() {
	if l.openConns.Add(-1) > 0 {
		return
	}
	select {
	case l.lastConnClosed <- struct{}{}:
	default:
	}
}

// enqueue passes a connection to the current server, or closes it if that server is shutting
// down. If a queue turns out to be closed, the current queue is looked up again, since new
// limits may have replaced it; if it is unchanged, the listener is stopping.
func (l *clientListener) enqueue(conn net.Conn) {
	// Count the connection before the server gets it, so that a shutdown waits for it.
	l.openConns.Add(1)
	var closedQueue *connQueue
	for {
		l.mu.Lock()
		queue := l.server.queue
		l.mu.Unlock()
		if queue == closedQueue {
			// An error is irrelevant: the client sees a closed connection either way.
			_ = conn.Close()
			l.connClosed()
			return
		}
		select {
		case queue.conns <- conn:
			return
		case <-queue.closed:
			closedQueue = queue
		}
	}
}

// isTransientAcceptError reports whether accepting may succeed again after this error.
func isTransientAcceptError(err error) bool {
	for _, transient := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// serve accepts clients until the context is canceled, and then shuts down gracefully:
// clients are still accepted for lameDuckPeriod (at most a third of the grace period), and
// requests in flight may finish until the grace period ends. It then returns the context's
// error.
func (l *clientListener) serve(ctx context.Context, gracePeriod time.Duration) error {
	lameDuck := min(lameDuckPeriod, gracePeriod/3)
	stop := context.AfterFunc(ctx, func() {
		// This makes Accept fail, which ends acceptUntilClosed.
		time.AfterFunc(lameDuck, func() { _ = l.listener.Close() })
	})
	defer stop()
	if err := l.acceptUntilClosed(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	l.server.drain()
	l.mu.Unlock()
	l.awaitConnsClosed(gracePeriod - lameDuck)
	return ctx.Err()
}

// acceptUntilClosed accepts connections until accepting fails. It returns nil if the context
// was canceled by then.
func (l *clientListener) acceptUntilClosed(ctx context.Context) error {
	for {
		conn, err := l.listener.Accept()
		switch {
		case err == nil:
			l.enqueue(conn)
		case ctx.Err() != nil:
			return nil
		case !isTransientAcceptError(err):
			return err
		default:
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
		}
	}
}

// awaitConnsClosed waits until no connection is open or the limit has passed.
func (l *clientListener) awaitConnsClosed(limit time.Duration) {
	timeout := time.After(limit)
	for l.openConns.Load() > 0 {
		select {
		case <-l.lastConnClosed:
		case <-timeout:
			return
		}
	}
}
