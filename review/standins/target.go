package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// beatInterval is heartbeat_interval_s.
const beatInterval = 1500 * time.Millisecond

// target is a stand-in server of a service, as the pages describe it.
type target struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	fleet                      *fleet
	// onRun is called when the target begins to work on a request.
	onRun func(t *target, attempt string)

	listener net.Listener
	slot     chan struct{}
	mu       sync.Mutex
	sequence int
	silent   bool
	conns    map[net.Conn]bool
	running  map[string]bool
}

// start starts the target and its heartbeats.
func (t *target) start(f *fleet) error {
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.fleet, t.listener, t.slot = f, l, make(chan struct{}, t.slots)
	t.conns, t.running = map[net.Conn]bool{}, map[string]bool{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			t.conns[conn] = true
			t.mu.Unlock()
			go t.serve(conn)
		}
	}()
	go t.beat()
	return nil
}

// call sends a call of the target to one core machine after the other, a second each, until it is
// acknowledged or the limit has passed. It returns the machine that acknowledged it.
func (t *target) call(method string, body []byte, limit time.Duration) (string, bool) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		m := t.fleet.cores[n%len(t.fleet.cores)]
		request, err := http.NewRequest(method, "http://"+addr(m.ip, controlPort)+"/instances/"+t.id, bytes.NewReader(body))
		if err != nil {
			return "", false
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				return m.name, true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", false
}

// sendBeat sends one heartbeat.
func (t *target) sendBeat() bool {
	t.mu.Lock()
	t.sequence++
	raw, err := json.Marshal(map[string]any{
		"service": t.service, "address": t.address, "zone_name": t.zone, "version_number": "v1", "slot_count": t.slots,
		"server_state": "ready", "cold_remaining_s": 0, "call_sequence": t.sequence,
	})
	t.mu.Unlock()
	if err != nil {
		return false
	}
	_, ok := t.call(http.MethodPut, raw, beatInterval)
	return ok
}

// beat sends the heartbeats until the target is silent.
func (t *target) beat() {
	for {
		t.mu.Lock()
		silent := t.silent
		t.mu.Unlock()
		if silent {
			return
		}
		begin := time.Now()
		t.sendBeat()
		time.Sleep(time.Until(begin.Add(beatInterval)))
	}
}

// stopBeats ends the regular heartbeats.
func (t *target) stopBeats() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = true
}

// serve answers the requests of one connection, one at a time.
func (t *target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != t.id {
			_, _ = io.WriteString(conn, notExecuted("421 Misdirected Request", id))
			continue
		}
		millis, _ := strconv.Atoi(request.Header.Get("X-Deadline-Milliseconds"))
		select {
		case t.slot <- struct{}{}:
		case <-time.After(time.Duration(millis) * time.Millisecond):
			_, _ = io.WriteString(conn, notExecuted("503 Service Unavailable", id))
			continue
		}
		t.setRunning(id, true)
		t.onRun(t, id)
		time.Sleep(t.work)
		<-t.slot
		body := strings.Repeat(id+" ", 20)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nX-Server-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n%s",
			id, t.id, id, len(t.slot), t.slots, len(body), body); err != nil {
			return
		}
		t.setRunning(id, false)
	}
}

func notExecuted(status, id string) string {
	return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

func (t *target) setRunning(id string, running bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if running {
		t.running[id] = true
	} else {
		delete(t.running, id)
	}
}

// end ends the target: it closes its port and its connections. It returns the requests that it was
// still working on.
func (t *target) end() []string {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		_ = conn.Close()
	}
	var cut []string
	for id := range t.running {
		cut = append(cut, id)
	}
	return cut
}
