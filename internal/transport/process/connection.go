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
	// writeTimeout is the timeout for writing one chunk, after which the connection is
	// closed. It allows for links as slow as 16 KiB/s.
	writeTimeout = 2 * time.Second
	// idleTimeout is how long a connection without messages stays open. Members send
	// heartbeats more often, so only connections to daemons that have left become idle.
	idleTimeout = time.Minute
	// writeChunkSize is the number of bytes written under one deadline. A deadline for
	// the whole frame would make every attempt to send a large frame over a slow link
	// fail.
	writeChunkSize = 32 << 10
	// bufferSize is the size of the read and write buffers of connections, in bytes.
	bufferSize = 64 << 10
)

// maintainConnection sends the frames of a peer's queue and reconnects as needed. It returns
// when the queue has been idle for idleTimeout or the context is done.
func (t *Transport) maintainConnection(ctx context.Context, to ids.Address, queue chan []byte) {
	dial := t.Dial
	if dial == nil {
		dial = t.dial
	}
	backoff := newDialBackoff()
	var first []byte
	for {
		// Dial only if there is a message, as the peer may have left permanently.
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

// dropOldest drops the oldest frames until the queue is at most half full. Frames for an
// unreachable peer are outdated by the time that it can be reached.
func (t *Transport) dropOldest(queue chan []byte) {
	for len(queue) > queueLength/2 {
		t.countDropped(<-queue)
	}
}

// writeQueue sends the first frame and then those of the queue. It returns true if sending
// is finished (the queue was idle, or the context is done), and false if the connection was
// lost.
func (t *Transport) writeQueue(ctx context.Context, c net.Conn, to ids.Address, first []byte, queue chan []byte) bool {
	defer func() { _ = c.Close() }()
	closedByPeer := watchClose(c)
	w := bufio.NewWriterSize(c, bufferSize)
	hello, err := wire.Encode(Hello{Address: t.Address, AcceptsDeflated: true})
	if err != nil {
		return true
	}
	// This only fills the buffer. A failed write is reported with the first frame.
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

// watchClose returns a channel that is closed when the connection is closed. The peer never
// writes to the connection, so a read returns only then.
func watchClose(c net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = c.Read(make([]byte, 1))
	}()
	return closed
}

// writeAndCount writes a frame, flushes if the queue is empty, and counts the frame as sent
// even if writing failed.
func (t *Transport) writeAndCount(c net.Conn, w *bufio.Writer, frame []byte, queue <-chan []byte) error {
	err := writeFrame(c, w, frame)
	if err == nil && len(queue) == 0 {
		err = w.Flush()
	}
	t.Stats.count(Sent, wire.KindOfFrame(frame), len(frame))
	return err
}

// writeFrame writes a frame in chunks, each with its own deadline, so that it fails for
// stalled connections but not for slow ones.
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
