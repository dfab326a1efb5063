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

	"dunlinwell/internal/policy"
)

// gate lets consumers in, within the limits that policy names. net/http fixes
// its limits when a server starts, so new limits get a new server; what the
// old one holds ends there.
type gate struct {
	handler http.Handler
	in      net.Listener
	mu      sync.Mutex
	limits  policy.Limits
	server  *http.Server
	queue   *queue
	// held counts the circuits of all servers; empty wakes who waits for none.
	held  atomic.Int64
	empty chan struct{}
}

// queue hands accepted circuits to a server.
type queue struct {
	net.Listener
	circuits chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.circuits:
		return c, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

func (q *queue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

func newGate(in net.Listener, h http.Handler) *gate {
	g := &gate{handler: h, in: in, empty: make(chan struct{}, 1)}
	g.limit(policy.NoLimits)
	return g
}

// limit starts a server for new limits, and lets the old one end.
func (g *gate) limit(l policy.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server != nil && g.limits == l {
		return
	}
	old, last := g.server, g.queue
	g.limits = l
	g.queue = &queue{Listener: g.in, circuits: make(chan net.Conn), closed: make(chan struct{})}
	g.server = &http.Server{Handler: g.handler, MaxHeaderBytes: l.MaxHeader,
		ReadHeaderTimeout: time.Duration(l.Header) * time.Millisecond, IdleTimeout: time.Duration(l.Idle) * time.Millisecond, ConnState: g.count}
	go func(s *http.Server, q *queue) { _ = s.Serve(q) }(g.server, g.queue)
	if old != nil {
		last.Close()
		ebb(old)
	}
}

// ebb lets a server end: who is idle goes now, the others with their answer.
// Shutdown won't do, as it drops requests that are being read just then.
func ebb(s *http.Server) { s.SetKeepAlivesEnabled(false) }

func (g *gate) count(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		g.held.Add(1)
	case http.StateClosed, http.StateHijacked:
		if g.held.Add(-1) > 0 {
			return
		}
		select {
		case g.empty <- struct{}{}:
		default:
		}
	}
}

// hand gives a circuit to the server of the limits in force; one that new limits
// have just closed hands nothing on.
func (g *gate) hand(c net.Conn) {
	var last *queue
	for {
		g.mu.Lock()
		q := g.queue
		g.mu.Unlock()
		if q == last {
			c.Close()
			return
		}
		select {
		case q.circuits <- c:
			return
		case <-q.closed:
			last = q
		}
	}
}

// acceptPause is how long a process short of descriptors or memory waits before
// it lets the next one in.
const acceptPause = 20 * time.Millisecond

// scarcity tells whether an error of accepting will pass by itself.
func scarcity(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// lameFor is how long consumers are still let in after the polite signal: the
// directory's answers that name this proxy live on for a moment.
const lameFor = 1200 * time.Millisecond

// serve lets consumers in until the context ends, and then lets what is under
// way end within the grace.
func (g *gate) serve(ctx context.Context, grace time.Duration) error {
	stop := context.AfterFunc(ctx, func() {
		time.AfterFunc(min(lameFor, grace/3), func() { g.in.Close() })
	})
	defer stop()
	for {
		c, err := g.in.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			if !scarcity(err) {
				return err
			}
			select {
			case <-ctx.Done():
			case <-time.After(acceptPause):
			}
			continue
		}
		g.hand(c)
	}
	g.mu.Lock()
	g.queue.Close()
	ebb(g.server)
	g.mu.Unlock()
	over := time.After(grace - min(lameFor, grace/3))
	for g.held.Load() > 0 {
		select {
		case <-g.empty:
		case <-over:
			return ctx.Err()
		}
	}
	return ctx.Err()
}
