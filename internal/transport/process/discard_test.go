package process

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Invalid input from a peer must not be delivered. It must be counted each time and logged
// once.
func TestTransport_CountsEachDiscardAndLogsPeerOnce(t *testing.T) {
	hello, good := encodeFrame(t, Hello{Address: "127.0.0.1:4"}), encodeFrame(t, textMessage{"word"})
	tooLong, unknown := bytes.Clone(good), bytes.Clone(good)
	binary.BigEndian.PutUint32(tooLong[6:], wire.MaxBodySize+1)
	binary.BigEndian.PutUint16(unknown[4:], 64999)
	truncated := bytes.Clone(good)
	binary.BigEndian.PutUint32(truncated[26:], 1<<31) // a list longer than its frame
	for name, c := range map[string]struct {
		parts     [][]byte
		delivered int
	}{
		"no hello":                          {[][]byte{good}, 0},
		"hello with the receiver's address": {nil, 0},
		"hello with another IP address":     {[][]byte{encodeFrame(t, Hello{Address: "127.9.9.9:4"}), good}, 0},
		"hello without an address":          {[][]byte{encodeFrame(t, Hello{}), good}, 0},
		"second hello":                      {[][]byte{hello, good, encodeFrame(t, Hello{Address: "127.0.0.1:5"}), good}, 1},
		"oversized frame":                   {[][]byte{hello, tooLong, good}, 0},
		"truncated body":                    {[][]byte{hello, truncated, good}, 0},
		"not a frame":                       {[][]byte{hello, []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), good}, 0},
		"unknown kind":                      {[][]byte{hello, unknown, good}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			transport, out, delivered := startReceiver(t)
			if c.parts == nil {
				c.parts = [][]byte{encodeFrame(t, Hello{Address: transport.Address}), good}
			}
			const times = 4
			for range times {
				sendRaw(t, transport, c.parts...)
			}
			is.Equal(len(delivered), times*c.delivered)
			is.Equal(discardedMessages(transport), uint64(times))
			is.Equal(out.count("message_discarded"), 1)
		})
	}
}

// Messages discarded by state machines must be counted each time and logged once per peer.
func TestTransport_CountsDiscardsOfStateMachines(t *testing.T) {
	is := is.New(t)
	transport, out, _ := startReceiver(t)
	for _, from := range []ids.Address{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.1:1"} {
		transport.Discard(event.Discarded{From: from, Reason: event.Unsolicited, Message: textMessage{}})
	}
	is.Equal(discardedMessages(transport), uint64(3))
	is.Equal(out.count("message_discarded"), 2)
}

// If a connection is cut at any byte, only complete frames must be delivered, once and in
// order.
func TestTransport_DeliversOnlyWholeFramesWhenCutAtAnyByte(t *testing.T) {
	is := is.New(t)
	transport, out, delivered := startReceiver(t)
	stream := encodeFrame(t, Hello{Address: "127.0.0.1:4"})
	ends := []int{len(stream)}
	for _, text := range []string{"one", "two", "three"} {
		stream = append(stream, encodeFrame(t, textMessage{text})...)
		ends = append(ends, len(stream))
	}
	for cut := range len(stream) + 1 {
		sendRaw(t, transport, stream[:cut])
		for i, text := range []string{"one", "two", "three"} {
			if cut >= ends[i+1] {
				is.Equal(<-delivered, textMessage{text})
			}
		}
		is.Equal(len(delivered), 0)
	}
	is.Equal(out.count("message_discarded"), 0) // a closed connection isn't a malformed frame
}

func TestIsConnectionEnd(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	for name, c := range map[string]struct {
		err  error
		want bool
	}{
		"peer closed":              {io.EOF, true},
		"cut within a frame":       {io.ErrUnexpectedEOF, true},
		"closed here":              {net.ErrClosed, true},
		"reset":                    {reset, true},
		"malformed frame":          {wire.ErrMalformedFrame, false},
		"error with the same text": {errors.New("connection reset"), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(isConnectionEnd(c.err), c.want)
			is.Equal(isConnectionEnd(errs.Wrap(fmt.Errorf("body: %w", c.err), "read body", "")), c.want)
		})
	}
}
