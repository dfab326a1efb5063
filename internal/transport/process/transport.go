package process

import (
	"cmp"
	"context"
	"net"
	"sync"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Hello is the first message on every connection.
type Hello struct {
	// Address is the address on which the sender listens for peers.
	Address ids.Address
	// AcceptsDeflated is set if the sender can read frames with a deflated body.
	AcceptsDeflated bool
}

var _ = wire.Register(1, Hello{})

// Transport exchanges messages with peers. It sends messages over connections that it opens
// as needed, one for each peer, and receives messages over connections that the peers open.
type Transport struct {
	// Address is the address at which peers reach this daemon.
	Address ids.Address
	// Bind is the address to listen on, if different from Address. If it is set, addresses
	// may be translated between daemons, so the address in a peer's Hello isn't compared
	// with that of the connection.
	Bind ids.Address
	// Deliver is called for each received message. It must not block.
	Deliver func(from ids.Address, msg any)
	Log     *Log
	// Dial opens a connection to a peer. If it is nil, TCP is used.
	Dial func(ctx context.Context, to ids.Address) (net.Conn, error)
	// Stats counts the traffic. It may be nil.
	Stats *TrafficStats

	mu sync.Mutex
	// queues holds the queue of encoded frames for each peer. A queue exists as long as
	// the goroutine that sends its frames.
	queues map[ids.Address]chan []byte
	// acceptsDeflated maps each peer to Hello.AcceptsDeflated.
	acceptsDeflated sync.Map
	// ctx is the context of Serve. Until it is set, messages are dropped.
	ctx        context.Context
	discardLog logOnce
}

// queueLength is the maximum number of queued frames for one peer. Further ones are dropped;
// the state machines resend messages where needed.
const queueLength = 512

// Listen opens the port for peers. It is separate from Serve so that startup fails early if
// the port is in use.
func (t *Transport) Listen() (net.Listener, error) {
	address := string(cmp.Or(t.Bind, t.Address))
	l, err := net.Listen("tcp", address)
	return l, errs.Wrap(err, "listen", address)
}

// Serve accepts connections until the context is done.
func (t *Transport) Serve(ctx context.Context, l net.Listener) error {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
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

// Send queues a message for a peer. It never blocks; if the queue is full, the message is
// dropped. A message to this daemon itself is delivered immediately.
func (t *Transport) Send(to ids.Address, msg any) {
	if to == t.Address {
		t.Deliver(to, msg)
		return
	}
	frame, err := wire.Encode(msg)
	if err != nil {
		t.Log.Event(event.LevelError, logMessageNotEncoded, "peer", string(to), "error", err.Error())
		return
	}
	if deflate, _ := t.acceptsDeflated.Load(to); deflate == true {
		frame = wire.Deflate(frame)
	}
	t.enqueue(to, frame)
}

// enqueue queues a frame for a peer and starts the peer's sending goroutine if it isn't
// running.
func (t *Transport) enqueue(to ids.Address, frame []byte) {
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
	case queue <- frame:
	default:
		t.countDropped(frame)
	}
}

func (t *Transport) countDropped(frame []byte) {
	t.Stats.count(Dropped, wire.KindOfFrame(frame), len(frame))
}

// removeIdleQueue removes a peer's queue if it is empty, and reports whether it did. If so,
// the sending goroutine must return.
func (t *Transport) removeIdleQueue(to ids.Address, queue chan []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(t.queues, to)
	return true
}

// Execute executes event.Send, event.LogEntry and event.Discarded. It returns false for any
// other command, which the daemon must execute itself.
func (t *Transport) Execute(command event.Command) bool {
	switch c := command.(type) {
	case event.Send:
		t.Send(c.To, c.Message)
	case event.LogEntry:
		t.Log.WriteEntry(c)
	case event.Discarded:
		t.Discard(c)
	default:
		return false
	}
	return true
}
