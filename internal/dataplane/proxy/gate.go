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

// gate lets clients in, within the limits that configuration names. net/http fixes
// its limits when a server starts, so new limits get a new server; what the
// old one holds ends there.
type gate struct {
	handler http.Handler
	in      net.Listener
	mu      sync.Mutex
	limits  configuration.Limits
	door    *door
	// held counts the connections of all servers; empty wakes who waits for none.
	held  atomic.Int64
	empty chan struct{}
}

// queue hands accepted connections to a server.
type queue struct {
	net.Listener
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.connections:
		return &clientConn{Conn: c}, nil
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
	g.limit(configuration.DefaultLimits)
	return g
}

// limit starts a server for new limits, and lets the old one end.
func (g *gate) limit(l configuration.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.door != nil && g.limits == l {
		return
	}
	old := g.door
	g.limits = l
	g.door = g.open(l)
	if old != nil {
		old.queue.Close()
		old.end()
	}
}

// open starts a server with its own queue of connections.
func (g *gate) open(l configuration.Limits) *door {
	d := &door{queue: &queue{Listener: g.in, connections: make(chan net.Conn), closed: make(chan struct{})}, conns: map[*clientConn]bool{}}
	d.server = &http.Server{
		Handler: d.handler(g.handler), MaxHeaderBytes: l.MaxHeaderBytes,
		ReadHeaderTimeout: time.Duration(l.HeaderTimeoutMillis) * time.Millisecond, IdleTimeout: time.Duration(l.IdleTimeoutMillis) * time.Millisecond,
		ConnState: func(c net.Conn, s http.ConnState) {
			d.follow(c, s)
			if s == http.StateClosed || s == http.StateHijacked {
				g.release()
			}
		},
	}
	go func() { _ = d.server.Serve(d.queue) }()
	return d
}

// release counts a connection off, and wakes who waits for the last one.
func (g *gate) release() {
	if g.held.Add(-1) > 0 {
		return
	}
	select {
	case g.empty <- struct{}{}:
	default:
	}
}

// hand gives a connection to the server of the limits in force; one that new limits
// have just closed hands nothing on.
func (g *gate) hand(c net.Conn) {
	// It counts before the server has it, so that the gate doesn't end in between.
	g.held.Add(1)
	var last *queue
	for {
		g.mu.Lock()
		q := g.door.queue
		g.mu.Unlock()
		if q == last {
			c.Close()
			g.release()
			return
		}
		select {
		case q.connections <- c:
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

// lameFor is how long clients are still let in after the polite signal: the
// directory's answers that name this proxy live on for a moment.
const lameFor = 1200 * time.Millisecond

// serve lets clients in until the context ends, and then lets what is under
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
	g.door.queue.Close()
	g.door.end()
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
