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
	// Address is where the sender listens for its peers.
	Address ids.Address
	// AcceptsDeflated says that the sender reads frames whose body is deflated.
	AcceptsDeflated bool
}

var _ = wire.Register(1, Hello{})

// Transport sends messages to peers, over a connection to each that it opens and
// reopens as needed, and receives those of peers on connections that they open. A
// connection carries messages one way only.
type Transport struct {
	// Address is where peers reach this daemon.
	Address ids.Address
	// Bind is where to listen, if not at Address. It says that addresses are mapped
	// between daemons, so that a peer's may differ from the one it names.
	Bind ids.Address
	// Deliver takes each message that arrives. It must not wait.
	Deliver func(from ids.Address, msg any)
	Log     *Log
	// Dial opens a connection to a peer; TCP if nil.
	Dial func(ctx context.Context, to ids.Address) (net.Conn, error)
	// Stats counts the traffic; nothing is counted if nil.
	Stats *TrafficStats

	mu sync.Mutex
	// queues holds the encoded frames that wait for each peer, while a goroutine
	// sends to it.
	queues map[ids.Address]chan []byte
	// acceptsDeflated maps each peer to Hello.AcceptsDeflated.
	acceptsDeflated sync.Map
	// ctx is that of Serve; nothing is sent before it is set.
	ctx        context.Context
	discardLog logOnce
}

// queueLength is how many frames may wait for one peer. A peer that is further behind
// loses messages, which are repeated later.
const queueLength = 512

// Listen opens the port for peers. It stands apart from Serve, so that a port that is
// taken is known before anything runs.
func (t *Transport) Listen() (net.Listener, error) {
	address := string(cmp.Or(t.Bind, t.Address))
	l, err := net.Listen("tcp", address)
	return l, errs.Wrap(err, "listen", address)
}

// Serve accepts connections until the context ends.
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

// Send queues a message for a peer. It never waits: with a full queue the message is
// lost. A message to this daemon itself is delivered at once.
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

// enqueue queues a frame for a peer, and starts the goroutine that sends to the peer
// if none runs.
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

// removeIdleQueue forgets a peer's queue unless a frame waits in it. It reports
// whether it did; the goroutine that sends must then end.
func (t *Transport) removeIdleQueue(to ids.Address, queue chan []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(t.queues, to)
	return true
}

// Execute carries out the commands that every machine of a daemon gives: a message to
// send, a log entry, a message that was discarded. It reports whether the command was one
// of these; the others are the daemon's own business.
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
