package process

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// logBuffer is a log that a test can count.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

func (l *logBuffer) count(word string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.out.String(), word)
}

// startReceiver is a transport that serves, and what was delivered to its machine.
func startReceiver(t *testing.T) (*Transport, *logBuffer, chan any) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	got, out := make(chan any, 64), &logBuffer{}
	p := &Transport{
		Address: "127.0.0.1:0", Stats: &TrafficStats{}, Log: &Log{log.Logger{Writer: &log.IOWriter{Writer: out}}},
		Deliver: func(_ ids.Address, msg any) { got <- msg },
	}
	l, err := p.Listen()
	if err != nil {
		t.Fatal(err)
	}
	p.Address = ids.Address(l.Addr().String())
	go func() { _ = p.Serve(ctx, l) }()
	return p, out, got
}

func encodeFrame(t *testing.T, msg any) []byte {
	t.Helper()
	raw, err := wire.Encode(msg)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// sendRaw sends bytes on a connection of their own, closes its own side, and waits
// until the receiver has read them and closed the other.
func sendRaw(t *testing.T, to *Transport, parts ...[]byte) {
	t.Helper()
	c, err := net.Dial("tcp", string(to.Address))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	for _, p := range parts {
		if _, err := c.Write(p); err != nil {
			return // the receiver has closed already
		}
	}
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

func discardedMessages(p *Transport) (n uint64) {
	for _, f := range p.Stats.Snapshot() {
		if strings.HasPrefix(string(f.Direction), "discarded") {
			n += f.Messages
		}
	}
	return n
}

// Bad input on our own wire changes nothing, is counted each time, and is
// logged once a peer.
func TestTransport_CountsEachDiscardAndLogsPeerOnce(t *testing.T) {
	hello, word := encodeFrame(t, Hello{Address: "127.0.0.1:4"}), encodeFrame(t, textMessage{"word"})
	long, strange := bytes.Clone(word), bytes.Clone(word)
	binary.BigEndian.PutUint32(long[6:], wire.MaxBodySize+1)
	binary.BigEndian.PutUint16(strange[4:], 64999)
	short := bytes.Clone(word)
	binary.BigEndian.PutUint32(short[26:], 1<<31) // a list longer than its frame
	for name, c := range map[string]struct {
		parts     [][]byte
		delivered int
	}{
		"no hello":                        {[][]byte{word}, 0},
		"hello in this daemon's own name": {nil, 0},
		"hello for another machine":       {[][]byte{encodeFrame(t, Hello{Address: "127.9.9.9:4"}), word}, 0},
		"hello without an address":        {[][]byte{encodeFrame(t, Hello{}), word}, 0},
		"a second hello":                  {[][]byte{hello, word, encodeFrame(t, Hello{Address: "127.0.0.1:5"}), word}, 1},
		"oversized frame":                 {[][]byte{hello, long, word}, 0},
		"body that ends early":            {[][]byte{hello, short, word}, 0},
		"no frame at all":                 {[][]byte{hello, []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), word}, 0},
		"unknown kind":                    {[][]byte{hello, strange, word}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, out, got := startReceiver(t)
			if c.parts == nil {
				c.parts = [][]byte{encodeFrame(t, Hello{Address: p.Address}), word}
			}
			const times = 4
			for range times {
				sendRaw(t, p, c.parts...)
			}
			is.Equal(len(got), times*c.delivered)
			is.Equal(discardedMessages(p), uint64(times))
			is.Equal(out.count("message discarded"), 1)
		})
	}
}

// What a machine discarded is counted by its kind, and logged once a peer.
func TestTransport_CountsDiscardsOfMachines(t *testing.T) {
	is := is.New(t)
	p, out, _ := startReceiver(t)
	for _, from := range []ids.Address{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.1:1"} {
		p.Discard(event.Discarded{From: from, Reason: event.Unsolicited, Msg: textMessage{}})
	}
	is.Equal(discardedMessages(p), uint64(3))
	is.Equal(out.count("message discarded"), 2)
}

// However a connection ends, and wherever, whole frames alone are delivered, in
// their order and once.
func TestTransport_DeliversOnlyWholeFramesWhenCutAtAnyByte(t *testing.T) {
	is := is.New(t)
	p, out, got := startReceiver(t)
	stream := encodeFrame(t, Hello{Address: "127.0.0.1:4"})
	ends := []int{len(stream)}
	for _, text := range []string{"one", "two", "three"} {
		stream = append(stream, encodeFrame(t, textMessage{text})...)
		ends = append(ends, len(stream))
	}
	for cut := range len(stream) + 1 {
		sendRaw(t, p, stream[:cut])
		for i, text := range []string{"one", "two", "three"} {
			if cut >= ends[i+1] {
				is.Equal(<-got, textMessage{text})
			}
		}
		is.Equal(len(got), 0)
	}
	is.Equal(out.count("message discarded"), 0) // a peer that dies isn't malformed
}
