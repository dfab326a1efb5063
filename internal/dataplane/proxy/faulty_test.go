package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// ending is how a target ends a connection.
type ending string

const (
	resets     ending = "reset"
	closes     ending = "close"
	halfCloses ending = "half-close"
)

func (e ending) apply(c net.Conn) {
	tcp := c.(*net.TCPConn)
	switch e {
	case resets:
		_ = tcp.SetLinger(0)
		tcp.Close()
	case closes:
		tcp.Close()
	case halfCloses:
		_ = tcp.CloseWrite()
	}
}

// faulty is a target whose connections end where a test says. It counts how
// often each request's first byte reached it.
type faulty struct {
	net.Listener
	mu   sync.Mutex
	seen map[string]int
	open []net.Conn
	// requestAt is after how many bytes of a request the connection ends, and
	// answerAt after how many of its answer; below 0 for never.
	requestAt, answerAt int
	end                 ending
	answer              func(id string) string
}

func newFaulty(t *testing.T, end ending) *faulty {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	f := &faulty{Listener: l, seen: map[string]int{}, requestAt: -1, answerAt: -1, end: end, answer: func(id string) string { return named(nil, id, "of "+id) }}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

func (f *faulty) serve(c net.Conn) {
	f.mu.Lock()
	f.open = append(f.open, c)
	requestAt := f.requestAt
	f.mu.Unlock()
	if requestAt >= 0 {
		_, _ = io.ReadFull(c, make([]byte, requestAt))
		f.end.apply(c)
		return
	}
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			c.Close()
			return
		}
		id := req.Header.Get("Id")
		f.mu.Lock()
		f.seen[id]++
		answerAt, answer := f.answerAt, f.answer
		f.mu.Unlock()
		out := answer(id)
		if answerAt >= 0 && answerAt < len(out) {
			_, _ = io.WriteString(c, out[:answerAt])
			f.end.apply(c)
			return
		}
		_, _ = io.WriteString(c, out)
	}
}

// endAll ends every connection, as a target that restarts or is idle for too long.
func (f *faulty) endAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.open {
		f.end.apply(c)
	}
	f.open = nil
}

func (f *faulty) set(requestAt, answerAt int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestAt, f.answerAt = requestAt, answerAt
}

func (f *faulty) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[id]
}
