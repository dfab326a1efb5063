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

// clientListener accepts clients' connections, within the limits that the configuration
// sets, until a graceful shutdown. net/http fixes its limits when a server starts, so new
// limits start a new server; the connections of the old one end there.
type clientListener struct {
	handler  http.Handler
	listener net.Listener
	mu       sync.Mutex
	limits   configuration.Limits
	server   *clientServer
	// openConns counts the connections of all servers; lastConnClosed wakes the one who
	// waits for none to be left.
	openConns      atomic.Int64
	lastConnClosed chan struct{}
}

const (
	// acceptRetryDelay is how long a process short of file descriptors or memory waits
	// before it accepts the next connection.
	acceptRetryDelay = 20 * time.Millisecond
	// lameDuckPeriod is how long connections are still accepted after the signal to stop:
	// responses of the directory that name this proxy are used for a moment longer, and
	// their clients shall get an answer. The native front end rejects their requests at
	// once; another may still serve them. A third of the default grace period is shorter.
	lameDuckPeriod = 1200 * time.Millisecond
)

func newClientListener(listener net.Listener, handler http.Handler) *clientListener {
	l := &clientListener{handler: handler, listener: listener, lastConnClosed: make(chan struct{}, 1)}
	l.setLimits(configuration.DefaultLimits)
	return l
}

// setLimits starts a server with new limits and drains the old one. Limits that are the
// same change nothing.
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

// connClosed counts a connection off and wakes the one who waits for the last.
func (l *clientListener) connClosed() {
	if l.openConns.Add(-1) > 0 {
		return
	}
	select {
	case l.lastConnClosed <- struct{}{}:
	default:
	}
}

// enqueue hands a connection to the server of the limits in force, or closes it after the
// last server has closed. A queue that was found closed is asked for again, as new limits
// may have put another in its place; if it is still the same one, none will follow.
func (l *clientListener) enqueue(conn net.Conn) {
	// It counts before the server has it, so that a shutdown doesn't miss it.
	l.openConns.Add(1)
	var closedQueue *connQueue
	for {
		l.mu.Lock()
		queue := l.server.queue
		l.mu.Unlock()
		if queue == closedQueue {
			// The client sees it closed either way.
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

// isTransientAcceptError tells whether an error of accepting passes by itself.
func isTransientAcceptError(err error) bool {
	for _, transient := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// serve accepts clients until the context ends, and then shuts down gracefully: clients
// are accepted for lameDuckPeriod (a third of the grace period at most), and requests in
// flight may go on until the grace period is over. It returns the context's error then.
func (l *clientListener) serve(ctx context.Context, gracePeriod time.Duration) error {
	lameDuck := min(lameDuckPeriod, gracePeriod/3)
	stop := context.AfterFunc(ctx, func() {
		// Accept then fails, which ends the loop.
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

// acceptUntilClosed accepts connections until the listener is closed after the end of the
// context, which is no error.
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

// awaitConnsClosed waits until no connection is open, or the time is over.
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
