package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"dunlinwell/internal/dataplane/dispatch"
)

// arrivalTarget is a target of plainProtocol that counts the arrivals of each request and states
// the number in its response. Before a response it may write again what it has already written
// on the connection.
type arrivalTarget struct {
	net.Listener
	// respond returns the raw bytes of the response to an arrival.
	respond func(r *http.Request, arrival int) string
	// again returns the bytes to write before a response, given the earlier responses on the
	// connection; nil for none.
	again func(earlier []string) string

	mu          sync.Mutex
	arrivals    map[string]int
	connections int
}

func newArrivalTarget(t *testing.T) *arrivalTarget {
	t.Helper()
	target := &arrivalTarget{Listener: listen(t), respond: arrivalResponse, arrivals: map[string]int{}}
	go acceptAll(target.Listener, target.serve)
	return target
}

// arrivalResponse names the request and the number of its arrival in a header and, except for
// HEAD, in the body.
func arrivalResponse(r *http.Request, arrival int) string {
	id := r.Header.Get("Id")
	body := arrivalBody(id, arrival)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nArrival: %d\r\nContent-Length: %d\r\n\r\n", id, arrival, len(body))
	if r.Method == http.MethodHead {
		return head
	}
	return head + body
}

func arrivalBody(id string, arrival int) string { return fmt.Sprintf("arrival %d of %s", arrival, id) }

func (a *arrivalTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	a.mu.Lock()
	a.connections++
	a.mu.Unlock()
	reader := bufio.NewReader(conn)
	var earlier []string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		response := a.respond(request, a.countArrival(request.Header.Get("Id")))
		written := response
		if a.again != nil {
			written = a.again(earlier) + response
		}
		if _, err := io.WriteString(conn, written); err != nil {
			return
		}
		earlier = append(earlier, response)
	}
}

func (a *arrivalTarget) countArrival(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrivals[id]++
	return a.arrivals[id]
}

func (a *arrivalTarget) connectionCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connections
}

// lastAgain returns the latest earlier response, or "" if there is none.
func lastAgain(earlier []string) string {
	if len(earlier) == 0 {
		return ""
	}
	return earlier[len(earlier)-1]
}

// allAgain returns the earlier responses of a connection, the oldest first, at most as many as are
// skipped.
func allAgain(earlier []string) string {
	all := ""
	for _, response := range earlier[max(0, len(earlier)-maxStaleResponses):] {
		all += response
	}
	return all
}

// Guards against taking a late second copy of the response to a request's first arrival for the
// response to its next one: the request was reported as not executed, and had run.
func TestForward_RetryIgnoresResponseToEarlierArrival(t *testing.T) {
	for name, c := range map[string]struct {
		again  func([]string) string
		others int // requests between the arrivals
	}{
		"right after it": {lastAgain, 0},
		"after another request on its connection": {allAgain, 1},
	} {
		t.Run(name, func(t *testing.T) {
			target, d := newArrivalTarget(t), newPlainDaemon(0)
			target.again = c.again
			request := &ClientRequest{AttemptID: "retried"}
			for arrival := 1; arrival <= 4; arrival++ {
				finished := d.forwardRequest(target, request, false, 5*time.Second)
				if got, want := string(finished.Response.Body), arrivalBody("retried", arrival); finished.Result != dispatch.Complete || got != want {
					t.Errorf("attempt %d: %v (%s), response %q, want %q", arrival, finished.Result, finished.Reason, got, want)
				}
				for other := range c.others {
					id := fmt.Sprintf("other-%d-%d", arrival, other)
					finished := d.forwardRequest(target, &ClientRequest{AttemptID: id}, false, 5*time.Second)
					if got := string(finished.Response.Body); got != arrivalBody(id, 1) {
						t.Errorf("request %s: %v (%s), response %q", id, finished.Result, finished.Reason, got)
					}
				}
			}
		})
	}
}

// A retry leaves the connections that have carried its request to other requests, and opens no
// more connections than it needs.
func TestForward_RetryLeavesConnectionToOthers(t *testing.T) {
	target, d := newArrivalTarget(t), newPlainDaemon(0)
	retried := &ClientRequest{AttemptID: "retried"}
	for _, step := range []struct {
		request     *ClientRequest
		connections int
	}{
		{retried, 1},
		{&ClientRequest{AttemptID: "a"}, 1},
		{retried, 2},
		{&ClientRequest{AttemptID: "b"}, 2},
		{retried, 3},
		{&ClientRequest{AttemptID: "c"}, 3},
	} {
		finished := d.forwardRequest(target, step.request, false, 5*time.Second)
		if finished.Result != dispatch.Complete || target.connectionCount() != step.connections {
			t.Errorf("request %s: %v (%s), %d connections, want %d", step.request.AttemptID, finished.Result, finished.Reason, target.connectionCount(), step.connections)
		}
	}
	if idle := len(d.pool.idle["t"]); idle != 3 {
		t.Errorf("%d idle connections, want 3", idle)
	}
}

// arrivalCount returns how often the target received a request.
func (a *arrivalTarget) arrivalCount(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.arrivals[id]
}
