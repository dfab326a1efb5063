package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// target is a stand-in for one life of a target.
type target struct {
	f                        *fleet
	id, service, zone        string
	slots                    int
	work                     time.Duration
	listener                 net.Listener
	sequence                 atomic.Int64
	running                  atomic.Int64
	state                    atomic.Value // "ready" or "draining"
	stopBeats                chan struct{}
	stopOnce                 sync.Once
	heartbeatAt              atomic.Value // address for later beats; empty for none
	turnsAway                func(attempt string) bool
	answersAgain             func(attempt string, status int) bool
	onArrival                func(attempt string)
	onRun                    func(attempt, method, uri string, body []byte)
	responseBytes            int
	readPause                time.Duration // how long the target rests while it reads a large body
	largeBodies              atomic.Int64
	registered, acknowledged atomic.Bool
}

func (f *fleet) newTarget(id, service, zone, address string) (*target, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &target{f: f, id: id, service: service, zone: zone, slots: 2, work: 5 * time.Millisecond, listener: l, stopBeats: make(chan struct{}), responseBytes: 400}
	t.state.Store("ready")
	t.heartbeatAt.Store("")
	return t, nil
}

// start serves requests and begins the heartbeats.
func (t *target) start() {
	go func() {
		for {
			conn, err := t.listener.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
	go func() {
		for i := 0; ; i++ {
			t.registered.Store(t.beat(i))
			wait := 1500 * time.Millisecond
			if !t.registered.Load() {
				wait = 300 * time.Millisecond
			}
			select {
			case <-t.stopBeats:
				return
			case <-time.After(wait):
			}
		}
	}()
}

// end stops the heartbeats and the listener.
func (t *target) end() {
	t.stopOnce.Do(func() { close(t.stopBeats); _ = t.listener.Close() })
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (t *target) beat(i int) bool {
	m := t.f.cores[i%len(t.f.cores)]
	for _, c := range t.f.cores {
		if c.address(controlPort) == t.heartbeatAt.Load().(string) {
			m = c
		}
	}
	status := t.beatTo(m)
	if status/100 != 2 {
		t.heartbeatAt.Store("")
	}
	return status/100 == 2
}

func (t *target) beatTo(m *machine) int {
	state := t.state.Load().(string)
	status, answer := t.f.call(m, "PUT", "/instances/"+t.id, object{
		"service": t.service, "address": t.listener.Addr().String(), "zone_name": t.zone, "version_number": "v1",
		"slot_count": t.slots, "server_state": state, "cold_remaining_s": 0, "call_sequence": t.sequence.Add(1),
	})
	t.f.record.log("beat %s %s to %s: %d", t.id, state, m.name, status)
	if status/100 == 2 {
		if _, rest, ok := strings.Cut(string(answer), `"heartbeat_address":"`); ok {
			address, _, _ := strings.Cut(rest, `"`)
			t.heartbeatAt.Store(address)
		}
	}
	return status
}

// serve handles the requests of one connection, one at a time.
func (t *target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var again []byte // a second answer, sent where the next one is due
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := t.readBody(request)
		if err != nil {
			t.f.record.log("target %s: the body of %s breaks off after %d of %d bytes: %v", t.id, request.Header.Get("X-Attempt-Id"), len(body), request.ContentLength, err)
			return
		}
		if again != nil {
			t.f.record.log("target %s: sends its last answer a second time", t.id)
			if _, err := conn.Write(again); err != nil {
				return
			}
			again = nil
		}
		attempt := request.Header.Get("X-Attempt-Id")
		status, answer := t.handle(request, attempt, body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if t.answersAgain != nil && attempt != "" && t.answersAgain(attempt, status) {
			again = answer
		}
	}
}

// largeBody is the size from which a target that reads slowly rests.
const largeBody = 32 << 10

// readBody reads a body; of every second large one the first part, and the rest after a pause.
func (t *target) readBody(request *http.Request) ([]byte, error) {
	if t.readPause == 0 || request.ContentLength < largeBody || t.largeBodies.Add(1)%2 == 0 {
		return io.ReadAll(request.Body)
	}
	body := make([]byte, largeBody)
	if n, err := io.ReadFull(request.Body, body); err != nil {
		return body[:n], err
	}
	attempt := request.Header.Get("X-Attempt-Id")
	t.f.record.log("target %s: works on %s, of which it has read %d of %d bytes", t.id, attempt, len(body), request.ContentLength)
	if t.onRun != nil {
		t.onRun(attempt, request.Method, request.RequestURI, body)
	}
	time.Sleep(t.readPause)
	rest, err := io.ReadAll(request.Body)
	return append(body, rest...), err
}

// handle returns the status and the whole answer to a request.
func (t *target) handle(request *http.Request, attempt string, body []byte) (int, []byte) {
	load := func() string { return fmt.Sprintf("%d,0,%d", t.running.Load(), t.slots) }
	refuse := func(status int) (int, []byte) {
		text, reported := "not run\n", load()
		if status == http.StatusServiceUnavailable { // full, with requests of other callers
			reported = fmt.Sprintf("%d,%d,%d", t.slots, t.slots, t.slots)
		}
		return status, []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Server-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), attempt, reported, len(text), text))
	}
	if request.URL.Path == "/health" {
		return 200, []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", t.id))
	}
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != t.id {
		return refuse(421)
	}
	if attempt == "" {
		return refuse(400)
	}
	if t.onArrival != nil {
		t.onArrival(attempt)
	}
	running := t.running.Add(1)
	defer t.running.Add(-1)
	if running > int64(t.slots) || t.turnsAway != nil && t.turnsAway(attempt) {
		t.f.record.log("target %s: %s turned away with 503 X-Not-Executed", t.id, attempt)
		return refuse(503)
	}
	t.f.record.log("target %s: %s runs (%s %s)", t.id, attempt, request.Method, request.RequestURI)
	if t.onRun != nil {
		t.onRun(attempt, request.Method, request.RequestURI, body)
	}
	time.Sleep(t.work)
	text := strings.Repeat("x", t.responseBytes)
	return 200, []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s-%s\r\nX-Server-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
		attempt, t.id, attempt, load(), len(text), text))
}
