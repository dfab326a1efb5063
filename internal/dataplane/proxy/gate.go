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

// clientListener lets clients in, within the limits that configuration names. net/http fixes
// its limits when a server starts, so new limits get a new server; what the
// old one holds ends there.
type clientListener struct {
	handler  http.Handler
	listener net.Listener
	mu       sync.Mutex
	limits   configuration.Limits
	server   *clientServer
	// openConns counts the connections of all servers; empty wakes who waits for none.
	openConns atomic.Int64
	drained   chan struct{}
}

// connQueue hands accepted connections to a server.
type connQueue struct {
	net.Listener
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return &clientConn{Conn: c}, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

func (q *connQueue) Close() error {
	q.closeOnce.Do(func() { close(q.closed) })
	return nil
}

func newClientListener(in net.Listener, h http.Handler) *clientListener {
	g := &clientListener{handler: h, listener: in, drained: make(chan struct{}, 1)}
	g.setLimits(configuration.DefaultLimits)
	return g
}

// setLimits starts a server for new limits, and lets the old one end.
func (g *clientListener) setLimits(l configuration.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server != nil && g.limits == l {
		return
	}
	old := g.server
	g.limits = l
	g.server = g.startServer(l)
	if old != nil {
		old.listener.Close()
		old.drain()
	}
}

// startServer starts a server with its own queue of connections.
func (g *clientListener) startServer(l configuration.Limits) *clientServer {
	d := &clientServer{listener: &connQueue{Listener: g.listener, conns: make(chan net.Conn), closed: make(chan struct{})}, conns: map[*clientConn]bool{}}
	d.server = &http.Server{
		Handler: d.wrapHandler(g.handler), MaxHeaderBytes: l.MaxHeaderBytes,
		ReadHeaderTimeout: time.Duration(l.HeaderTimeoutMillis) * time.Millisecond, IdleTimeout: time.Duration(l.IdleTimeoutMillis) * time.Millisecond,
		ConnState: func(c net.Conn, s http.ConnState) {
			d.trackConn(c, s)
			if s == http.StateClosed || s == http.StateHijacked {
				g.connClosed()
			}
		},
	}
	go func() { _ = d.server.Serve(d.listener) }()
	return d
}

// connClosed counts a connection off, and wakes who waits for the last one.
func (g *clientListener) connClosed() {
	if g.openConns.Add(-1) > 0 {
		return
	}
	select {
	case g.drained <- struct{}{}:
	default:
	}
}

// enqueue gives a connection to the server of the limits in force; one that new limits
// have just closed hands nothing on.
func (g *clientListener) enqueue(c net.Conn) {
	// It counts before the server has it, so that the gate doesn't end in between.
	g.openConns.Add(1)
	var last *connQueue
	for {
		g.mu.Lock()
		q := g.server.listener
		g.mu.Unlock()
		if q == last {
			c.Close()
			g.connClosed()
			return
		}
		select {
		case q.conns <- c:
			return
		case <-q.closed:
			last = q
		}
	}
}

// acceptRetryDelay is how long a process short of descriptors or memory waits before
// it lets the next one in.
const acceptRetryDelay = 20 * time.Millisecond

// isTransientAcceptError tells whether an error of accepting will pass by itself.
func isTransientAcceptError(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// lameDuckPeriod is how long clients are still let in after the polite signal: the
// directory's answers that name this proxy live on for a moment.
const lameDuckPeriod = 1200 * time.Millisecond

// serve lets clients in until the context ends, and then lets what is under
// way end within the grace.
func (g *clientListener) serve(ctx context.Context, grace time.Duration) error {
	stop := context.AfterFunc(ctx, func() {
		time.AfterFunc(min(lameDuckPeriod, grace/3), func() { g.listener.Close() })
	})
	defer stop()
	for {
		c, err := g.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			if !isTransientAcceptError(err) {
				return err
			}
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		g.enqueue(c)
	}
	g.mu.Lock()
	g.server.listener.Close()
	g.server.drain()
	g.mu.Unlock()
	over := time.After(grace - min(lameDuckPeriod, grace/3))
	for g.openConns.Load() > 0 {
		select {
		case <-g.drained:
		case <-over:
			return ctx.Err()
		}
	}
	return ctx.Err()
}
