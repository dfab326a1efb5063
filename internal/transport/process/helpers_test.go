package process

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// textMessage is the message sent by most tests.
type textMessage struct{ Text string }

// largeMessage is for messages that take longer than writeTimeout over a slow connection.
type largeMessage struct{ Body []byte }

var _ = wire.Register(65001, textMessage{}) && wire.Register(65000, largeMessage{})

// encodeFrame returns the encoded frame of a message.
func encodeFrame(t *testing.T, msg any) []byte {
	t.Helper()
	frame, err := wire.Encode(msg)
	is.New(t).NoErr(err)
	return frame
}

// logBuffer collects log output in memory.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

// count returns the number of occurrences of a text in the log.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.out.String(), text)
}

// serve runs a transport on a free port until the test ends.
func serve(t *testing.T, transport *Transport) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	transport.Address = "127.0.0.1:0"
	l, err := transport.Listen()
	is.New(t).NoErr(err)
	transport.Address = ids.Address(l.Addr().String())
	go func() { _ = transport.Serve(ctx, l) }()
}

// startReceiver runs a transport and returns it with its log and the messages that it
// delivers.
func startReceiver(t *testing.T) (*Transport, *logBuffer, chan any) {
	t.Helper()
	delivered, out := make(chan any, 64), &logBuffer{}
	transport := &Transport{
		Stats: &TrafficStats{}, Log: &Log{log.Logger{Writer: &log.IOWriter{Writer: out}}},
		Deliver: func(_ ids.Address, msg any) { delivered <- msg },
	}
	serve(t, transport)
	return transport, out, delivered
}

// sendRaw sends bytes over a new connection, half-closes it, and waits until the receiver
// closes it.
func sendRaw(t *testing.T, to *Transport, parts ...[]byte) {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", string(to.Address))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	for _, part := range parts {
		if _, err := c.Write(part); err != nil {
			return // the receiver has already closed the connection
		}
	}
	// Both fail if the receiver has already closed the connection.
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// discardedMessages returns the number of messages that a transport counted as discarded.
func discardedMessages(transport *Transport) (n uint64) {
	for _, traffic := range transport.Stats.Snapshot() {
		if strings.HasPrefix(string(traffic.Direction), "discarded") {
			n += traffic.Messages
		}
	}
	return n
}
