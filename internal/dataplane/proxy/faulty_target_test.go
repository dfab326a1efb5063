package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// closeMode is the way in which a target closes a connection.
type closeMode string

const (
	resetConnection     closeMode = "reset"
	closeConnection     closeMode = "close"
	halfCloseConnection closeMode = "half-close"
)

var closeModes = []closeMode{resetConnection, closeConnection, halfCloseConnection}

func (m closeMode) apply(conn net.Conn) {
	tcp := conn.(*net.TCPConn)
	switch m {
	case resetConnection:
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	case closeConnection:
		_ = tcp.Close()
	case halfCloseConnection:
		_ = tcp.CloseWrite()
	}
}

// faultyTarget is a target of plainProtocol that closes its connections at a given byte of a
// request or response. It counts how often it received each request.
type faultyTarget struct {
	net.Listener
	mode closeMode

	mu       sync.Mutex
	requests map[string]int
	open     []net.Conn
	// requestCut and responseCut are the numbers of request and response bytes after which
	// the connection is closed; negative for never.
	requestCut, responseCut int
	respond                 func(id string) string
}

func newFaultyTarget(t *testing.T, mode closeMode) *faultyTarget {
	t.Helper()
	f := &faultyTarget{
		Listener: listen(t), mode: mode, requests: map[string]int{}, requestCut: -1, responseCut: -1,
		respond: func(id string) string { return plainResponse(id, "of "+id) },
	}
	go acceptAll(f.Listener, f.serve)
	return f
}

func (f *faultyTarget) serve(conn net.Conn) {
	f.mu.Lock()
	f.open = append(f.open, conn)
	requestCut := f.requestCut
	f.mu.Unlock()
	if requestCut >= 0 {
		_, _ = io.ReadFull(conn, make([]byte, requestCut))
		f.mode.apply(conn)
		return
	}
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			_ = conn.Close()
			return
		}
		id := request.Header.Get("Id")
		responseCut, respond := f.countRequest(id)
		response := respond(id)
		if responseCut >= 0 && responseCut < len(response) {
			_, _ = io.WriteString(conn, response[:responseCut])
			f.mode.apply(conn)
			return
		}
		_, _ = io.WriteString(conn, response)
	}
}

func (f *faultyTarget) countRequest(id string) (int, func(string) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[id]++
	return f.responseCut, f.respond
}

// closeAll closes all connections, like a target that restarts or closes idle connections.
func (f *faultyTarget) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.open {
		f.mode.apply(conn)
	}
	f.open = nil
}

func (f *faultyTarget) setCuts(requestCut, responseCut int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestCut, f.responseCut = requestCut, responseCut
}

func (f *faultyTarget) setResponse(respond func(id string) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.respond = respond
}

// requestCount returns how often the target received a request.
func (f *faultyTarget) requestCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[id]
}
