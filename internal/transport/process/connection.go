package process

import (
	"bufio"
	"context"
	"net"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

const (
	// writeTimeout is how long a peer may take for one chunk before its connection is
	// given up. A link that carries writeChunkSize in that time (16 KiB/s) is slow, but
	// alive.
	writeTimeout = 2 * time.Second
	// idleTimeout is how long a connection without messages stays open. Members send
	// heartbeats more often, so it ends those to daemons that are gone.
	idleTimeout = time.Minute
	// writeChunkSize is how much of a frame must leave within writeTimeout, in bytes. A
	// deadline for the whole frame would cut off each large one on a slow link, every
	// time that it is sent again.
	writeChunkSize = 32 << 10
	// bufferSize is that of a connection's buffer in either direction, in bytes.
	bufferSize = 64 << 10
)

// maintainConnection sends a peer's queue, over a connection that it opens anew as
// often as it breaks, until the queue was idle for idleTimeout or the context ends.
func (t *Transport) maintainConnection(ctx context.Context, to ids.Address, queue chan []byte) {
	dial := t.Dial
	if dial == nil {
		dial = t.dial
	}
	backoff := newDialBackoff()
	var first []byte
	for {
		// Without a message nothing is dialled, as the peer may be gone for good.
		if first == nil {
			select {
			case <-ctx.Done():
				return
			case first = <-queue:
			}
		}
		c, err := backoff.dial(ctx, to, dial)
		if err == nil {
			if t.writeQueue(ctx, c, to, first, queue) {
				return
			}
			first = nil
		}
		t.dropOldest(queue)
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff.delay):
		}
	}
}

// dropOldest leaves half a queue at most: what waits for a peer that can't be reached
// is out of date by the time that it can.
func (t *Transport) dropOldest(queue chan []byte) {
	for len(queue) > queueLength/2 {
		t.countDropped(<-queue)
	}
}

// writeQueue sends a first frame and then the queue. It reports true if the queue is
// to be sent no further (idle, or the context ended), and false if the connection
// was lost.
func (t *Transport) writeQueue(ctx context.Context, c net.Conn, to ids.Address, first []byte, queue chan []byte) bool {
	defer func() { _ = c.Close() }()
	closedByPeer := watchClose(c)
	w := bufio.NewWriterSize(c, bufferSize)
	hello, err := wire.Encode(Hello{Address: t.Address, AcceptsDeflated: true})
	if err != nil {
		return true
	}
	// It only fills the buffer; an error comes back with the first frame.
	_, _ = w.Write(hello)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for frame := first; ; {
		if frame != nil {
			idle.Reset(idleTimeout)
			if err := t.writeAndCount(c, w, frame, queue); err != nil {
				t.Log.Event(event.LevelWarn, logConnectionLost, "peer", string(to), "error", err.Error())
				return false
			}
			frame = nil
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
		case frame = <-queue:
		}
	}
}

// watchClose gives a channel that closes once the peer has closed the connection. The
// peer never writes on it, so any end of a read means that.
func watchClose(c net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = c.Read(make([]byte, 1))
	}()
	return closed
}

// writeAndCount writes a frame, flushes if nothing else waits in the queue, and counts
// the frame as sent, also if that failed.
func (t *Transport) writeAndCount(c net.Conn, w *bufio.Writer, frame []byte, queue <-chan []byte) error {
	err := writeFrame(c, w, frame)
	if err == nil && len(queue) == 0 {
		err = w.Flush()
	}
	t.Stats.count(Sent, wire.KindOfFrame(frame), len(frame))
	return err
}

// writeFrame writes a frame in chunks, each with a deadline of its own: a peer that
// takes nothing is lost, one that is only slow is not.
func writeFrame(c net.Conn, w *bufio.Writer, frame []byte) error {
	for len(frame) > 0 {
		n := min(len(frame), writeChunkSize)
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := w.Write(frame[:n]); err != nil {
			return err
		}
		frame = frame[n:]
	}
	return nil
}
