package process

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Greeting opens a connection: it tells where the sender takes messages.
type Hello struct {
	Address ids.Address
	// Inflates tells that the sender reads frames whose body is deflated.
	Inflates bool
}

var _ = wire.Register(1, Hello{})

// Post holds connections to peers and takes theirs. A message may be lost with
// its connection; the machines ask again.
type Transport struct {
	// Address is what peers are told; Bind is where to listen, if elsewhere.
	Address ids.Address
	Bind    ids.Address
	// Deliver takes what comes in.
	Deliver func(from ids.Address, msg any)
	Log     *Log
	// Dial opens a connection to a peer; our own way by default.
	Dial func(ctx context.Context, to ids.Address) (net.Conn, error)
	// Tally, if set, counts what goes over the wire.
	Stats *TrafficStats

	mu     sync.Mutex
	queues map[ids.Address]chan []byte
	// inflates holds the peers that said that they read deflated frames.
	inflates sync.Map
	ctx      context.Context
	logged   logOnce
}

// TCPUserLimit is the socket option TCP_USER_TIMEOUT.
const TCPUserLimit = 18

const (
	queueLength = 512
	writeWithin = 2 * time.Second
	idleFor     = time.Minute
)

// Listen opens the port, so that a taken one is known before anything runs.
func (p *Transport) Listen() (net.Listener, error) {
	at := p.Bind
	if at == "" {
		at = p.Address
	}
	l, err := net.Listen("tcp", string(at))
	return l, errs.Wrap(err, "listen", string(at))
}

// Serve takes connections until the context ends.
func (p *Transport) Serve(ctx context.Context, l net.Listener) error {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	if p.Stats != nil {
		go p.sayWire(ctx)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errs.Wrap(err, "accept", "")
		}
		go p.receive(ctx, c)
	}
}

// Send queues a message on the peer's line; a full line loses it.
func (p *Transport) Send(to ids.Address, msg any) {
	if to == p.Address {
		p.Deliver(to, msg)
		return
	}
	raw, err := wire.Encode(msg)
	if err != nil {
		p.Log.Event(event.LevelError, "not packed", "peer", string(to), "error", err.Error())
		return
	}
	if able, _ := p.inflates.Load(to); able == true {
		raw = wire.Deflate(raw)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil || p.ctx.Err() != nil {
		return
	}
	if p.queues == nil {
		p.queues = map[ids.Address]chan []byte{}
	}
	line := p.queues[to]
	if line == nil {
		line = make(chan []byte, queueLength)
		p.queues[to] = line
		go p.maintain(p.ctx, to, line)
	}
	select {
	case line <- raw:
	default:
		p.Stats.count(Dropped, wire.KindOfFrame(raw), len(raw))
	}
}

// drop forgets an idle line, unless something was queued meanwhile.
func (p *Transport) drop(to ids.Address, line chan []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(line) > 0 {
		return false
	}
	delete(p.queues, to)
	return true
}

// hold keeps a connection to one peer while there is something to say.
func (p *Transport) maintain(ctx context.Context, to ids.Address, line chan []byte) {
	var first []byte
	pace := newDialPace()
	for {
		// A peer that is gone for good isn't dialled for nothing.
		if first == nil {
			select {
			case <-ctx.Done():
				return
			case first = <-line:
			}
		}
		dial := p.Dial
		if dial == nil {
			dial = p.dial
		}
		c, err := pace.dial(ctx, to, dial)
		if err == nil {
			if p.write(ctx, c, to, first, line) {
				return
			}
			first = nil
		}
		// What waits for a peer that isn't there is old by the time it is.
		for len(line) > queueLength/2 {
			old := <-line
			p.Stats.count(Dropped, wire.KindOfFrame(old), len(old))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pace.rest):
		}
	}
}

// write carries the line's messages; true once the line was idle and dropped.
func (p *Transport) write(ctx context.Context, c net.Conn, to ids.Address, first []byte, line chan []byte) bool {
	defer c.Close()
	// The peer never writes here: a read that ends tells that it closed.
	gone := make(chan struct{})
	go func() { defer close(gone); _, _ = c.Read(make([]byte, 1)) }()
	w := bufio.NewWriterSize(c, 64<<10)
	hello, err := wire.Encode(Hello{Address: p.Address, Inflates: true})
	if err != nil {
		return true
	}
	_, _ = w.Write(hello)
	idle := time.NewTimer(idleFor)
	defer idle.Stop()
	for raw := first; ; {
		if raw != nil {
			idle.Reset(idleFor)
			err := writeFrame(c, w, raw)
			if err == nil && len(line) == 0 {
				err = w.Flush()
			}
			p.Stats.count(Sent, wire.KindOfFrame(raw), len(raw))
			if err != nil {
				p.Log.Event(event.LevelWarn, "circuit lost", "peer", string(to), "error", err.Error())
				return false
			}
			raw = nil
		}
		select {
		case <-ctx.Done():
			return true
		case <-gone:
			return false
		case <-idle.C:
			if p.drop(to, line) {
				return true
			}
			idle.Reset(idleFor)
		case raw = <-line:
		}
	}
}
