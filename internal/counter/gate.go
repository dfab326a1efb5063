package counter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"dunlinwell/internal/catalogue"
)

// gate lets consumers in, within the limits that policy names. net/http fixes
// its limits when a server starts, so new limits get a new server; what the
// old one holds ends there.
type gate struct {
	handler http.Handler
	in      net.Listener
	mu      sync.Mutex
	limits  catalogue.Limits
	server  *http.Server
	queue   *queue
	ended   bool
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
	g := &gate{handler: h, in: in}
	g.limit(catalogue.NoLimits)
	return g
}

// limit starts a server for new limits, and lets the old one end.
func (g *gate) limit(l catalogue.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server != nil && (g.limits == l || g.ended) {
		return
	}
	old := g.server
	g.limits = l
	g.queue = &queue{Listener: g.in, circuits: make(chan net.Conn), closed: make(chan struct{})}
	g.server = &http.Server{Handler: g.handler, MaxHeaderBytes: l.MaxHeader,
		ReadHeaderTimeout: time.Duration(l.Header) * time.Millisecond, IdleTimeout: time.Duration(l.Idle) * time.Millisecond}
	go func(s *http.Server, q *queue) { _ = s.Serve(q) }(g.server, g.queue)
	if old != nil {
		go func() { _ = old.Shutdown(context.Background()) }()
	}
}

// lameFor is how long consumers are still let in after the polite signal: the
// directory's answers that name this counter live on for a moment.
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
			if ctx.Err() == nil {
				return err
			}
			break
		}
		g.mu.Lock()
		q := g.queue
		g.mu.Unlock()
		select {
		case q.circuits <- c:
		case <-q.closed:
			c.Close()
		}
	}
	g.mu.Lock()
	g.ended = true
	s := g.server
	g.mu.Unlock()
	c, cancel := context.WithTimeout(context.Background(), grace-min(lameFor, grace/3))
	defer cancel()
	if s.Shutdown(c) != nil {
		s.Close()
	}
	return ctx.Err()
}
