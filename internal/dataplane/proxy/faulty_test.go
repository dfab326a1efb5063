package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// connectionEnd is how a target ends a connection.
type connectionEnd string

const (
	resetConnection     connectionEnd = "reset"
	closeConnection     connectionEnd = "close"
	halfCloseConnection connectionEnd = "half-close"
)

func (e connectionEnd) apply(c net.Conn) {
	tcp := c.(*net.TCPConn)
	switch e {
	case resetConnection:
		_ = tcp.SetLinger(0)
		tcp.Close()
	case closeConnection:
		tcp.Close()
	case halfCloseConnection:
		_ = tcp.CloseWrite()
	}
}

// faultyTarget is a target whose connections end where a test says. It counts how
// often each request's first byte reached it.
type faultyTarget struct {
	net.Listener
	mu       sync.Mutex
	requests map[string]int
	open     []net.Conn
	// requestCut is after how many bytes of a request the connection ends, and
	// answerAt after how many of its answer; below 0 for never.
	requestCut, responseCut int
	end                     connectionEnd
	respond                 func(id string) string
}

func newFaultyTarget(t *testing.T, end connectionEnd) *faultyTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	f := &faultyTarget{Listener: l, requests: map[string]int{}, requestCut: -1, responseCut: -1, end: end, respond: func(id string) string { return responseFor(nil, id, "of "+id) }}
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

func (f *faultyTarget) serve(c net.Conn) {
	f.mu.Lock()
	f.open = append(f.open, c)
	requestAt := f.requestCut
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
		f.requests[id]++
		answerAt, answer := f.responseCut, f.respond
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
func (f *faultyTarget) endAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.open {
		f.end.apply(c)
	}
	f.open = nil
}

func (f *faultyTarget) set(requestAt, answerAt int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestCut, f.responseCut = requestAt, answerAt
}

func (f *faultyTarget) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[id]
}
