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
	// AcceptsDeflated tells that the sender reads frames whose body is deflated.
	AcceptsDeflated bool
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
	// acceptsDeflated holds the peers that said that they read deflated frames.
	acceptsDeflated sync.Map
	ctx             context.Context
	discardLog      logOnce
}

// TCPUserTimeout is the socket option TCP_USER_TIMEOUT.
const TCPUserTimeout = 18

const (
	queueLength  = 512
	writeTimeout = 2 * time.Second
	idleTimeout  = time.Minute
)

// Listen opens the port, so that a taken one is known before anything runs.
func (t *Transport) Listen() (net.Listener, error) {
	at := t.Bind
	if at == "" {
		at = t.Address
	}
	l, err := net.Listen("tcp", string(at))
	return l, errs.Wrap(err, "listen", string(at))
}

// Serve takes connections until the context ends.
func (t *Transport) Serve(ctx context.Context, l net.Listener) error {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	if t.Stats != nil {
		go t.logTraffic(ctx)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errs.Wrap(err, "accept", "")
		}
		go t.receive(ctx, c)
	}
}

// Send queues a message on the peer's line; a full line loses it.
func (t *Transport) Send(to ids.Address, msg any) {
	if to == t.Address {
		t.Deliver(to, msg)
		return
	}
	raw, err := wire.Encode(msg)
	if err != nil {
		t.Log.Event(event.LevelError, "not packed", "peer", string(to), "error", err.Error())
		return
	}
	if able, _ := t.acceptsDeflated.Load(to); able == true {
		raw = wire.Deflate(raw)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil || t.ctx.Err() != nil {
		return
	}
	if t.queues == nil {
		t.queues = map[ids.Address]chan []byte{}
	}
	queue := t.queues[to]
	if queue == nil {
		queue = make(chan []byte, queueLength)
		t.queues[to] = queue
		go t.maintainConnection(t.ctx, to, queue)
	}
	select {
	case queue <- raw:
	default:
		t.Stats.count(Dropped, wire.KindOfFrame(raw), len(raw))
	}
}

// removeIdleQueue forgets an idle line, unless something was queued meanwhile.
func (t *Transport) removeIdleQueue(to ids.Address, queue chan []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(t.queues, to)
	return true
}

// hold keeps a connection to one peer while there is something to say.
func (t *Transport) maintainConnection(ctx context.Context, to ids.Address, queue chan []byte) {
	var first []byte
	pace := newDialBackoff()
	for {
		// A peer that is gone for good isn't dialled for nothing.
		if first == nil {
			select {
			case <-ctx.Done():
				return
			case first = <-queue:
			}
		}
		dial := t.Dial
		if dial == nil {
			dial = t.dial
		}
		c, err := pace.dial(ctx, to, dial)
		if err == nil {
			if t.writeQueue(ctx, c, to, first, queue) {
				return
			}
			first = nil
		}
		// What waits for a peer that isn't there is old by the time it is.
		for len(queue) > queueLength/2 {
			old := <-queue
			t.Stats.count(Dropped, wire.KindOfFrame(old), len(old))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pace.delay):
		}
	}
}

// writeQueue carries the line's messages; true once the line was idle and dropped.
func (t *Transport) writeQueue(ctx context.Context, c net.Conn, to ids.Address, first []byte, queue chan []byte) bool {
	defer c.Close()
	// The peer never writes here: a read that ends tells that it closed.
	closedByPeer := make(chan struct{})
	go func() { defer close(closedByPeer); _, _ = c.Read(make([]byte, 1)) }()
	buffered := bufio.NewWriterSize(c, 64<<10)
	hello, err := wire.Encode(Hello{Address: t.Address, AcceptsDeflated: true})
	if err != nil {
		return true
	}
	_, _ = buffered.Write(hello)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for raw := first; ; {
		if raw != nil {
			idle.Reset(idleTimeout)
			err := writeFrame(c, buffered, raw)
			if err == nil && len(queue) == 0 {
				err = buffered.Flush()
			}
			t.Stats.count(Sent, wire.KindOfFrame(raw), len(raw))
			if err != nil {
				t.Log.Event(event.LevelWarn, "circuit lost", "peer", string(to), "error", err.Error())
				return false
			}
			raw = nil
		}
		select {
		case <-ctx.Done():
			return true
		case <-closedByPeer:
			return false
		case <-idle.C:
			if t.removeIdleQueue(to, queue) {
				return true
			}
			idle.Reset(idleTimeout)
		case raw = <-queue:
		}
	}
}
