package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// outcome is what a client saw of one try.
type outcome struct {
	id      string
	status  int
	seal    string
	bytes   int
	whole   bool
	failure string
	took    time.Duration
}

// try is one try of a client, on a connection of its own.
type try struct {
	id, method, host, path string
	body                   string
	deadline               time.Duration
}

// send sends a try to a proxy and reads the answer until the deadline.
func send(address string, t try) outcome {
	begin := time.Now()
	result := outcome{id: t.id}
	fail := func(what string, err error) outcome {
		result.failure, result.took = what, time.Since(begin)
		if err != nil {
			result.failure += ": " + err.Error()
		}
		return result
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return fail("no connection", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(begin.Add(t.deadline))
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n", t.method, t.path, t.host, t.id, t.deadline.Milliseconds())
	if t.method != http.MethodGet {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(t.body))
	}
	if _, err := io.WriteString(conn, request+"\r\n"+t.body); err != nil {
		return fail("sending", err)
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), &http.Request{Method: t.method})
	if err != nil {
		return fail("no answer", err)
	}
	result.status, result.seal = response.StatusCode, response.Header.Get("X-Server-Seal")
	chunk := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(chunk)
		result.bytes += n
		if err == io.EOF {
			result.whole, result.took = true, time.Since(begin)
			return result
		}
		if err != nil {
			return fail("answer cut off", err)
		}
	}
}
