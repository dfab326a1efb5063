package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
)

func TestForward_ReturnsCompleteResponse(t *testing.T) {
	is := is.New(t)
	target, d := newFakeTarget(t), newTestDaemon()
	finished := d.forwardNative(target, true, false)
	is.Equal(finished.Result, dispatch.Complete)
	is.Equal(string(finished.Response.Body), "hello")
	sent := *target.header.Load()
	is.Equal(sent.Get("X-Kept"), "2")
	is.Equal(sent.Get("X-Own"), "") // belongs to the client's connection alone
	for _, header := range finished.Response.Header {
		is.True(header.Name != "Keep-Alive")
	}
	// A repeatable request may use the connection again, an unrepeatable one may not.
	is.Equal(d.forwardNative(target, false, true).Result, dispatch.Complete)
	is.Equal(target.connections.Load(), int64(1))
	is.Equal(d.forwardNative(target, true, false).Result, dispatch.Complete)
	is.Equal(target.connections.Load(), int64(2))
}

// Every way in which a response is not the target's own, whole and with its digest.
func TestForward_DiscardsInvalidResponse(t *testing.T) {
	replaced := func(old, replacement string) func(*http.Request) string {
		return func(r *http.Request) string { return strings.Replace(validResponse(r), old, replacement, 1) }
	}
	for name, respond := range map[string]func(*http.Request) string{
		"closed":        func(*http.Request) string { return "" },
		"garbage":       func(*http.Request) string { return "nonsense\r\n\r\n" },
		"wrong digest":  func(r *http.Request) string { return responseWithDigest(r, "hello", "other") },
		"no digest":     replaced("Content-Digest", "X"),
		"other request": replaced("Request-Id: c1", "Request-Id: c2"),
		"two requests":  replaced("Idempotency-Key", "Request-Id: c2\r\nIdempotency-Key"),
		"other key":     replaced("Key: m", "Key: n"),
		"too large":     func(r *http.Request) string { b := strings.Repeat("x", 2000); return responseWithDigest(r, b, b) },
		"redirect":      func(*http.Request) string { return "HTTP/1.1 302 Found\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			target, d := newFakeTarget(t), newTestDaemon()
			target.respond = respond
			finished := d.forwardNative(target, true, false)
			if finished.Result != dispatch.MayHaveRun {
				t.Errorf("%v %s", finished.Result, finished.Reason)
			}
			is.New(t).Equal(target.requests.Load(), int64(1)) // sent once, whatever came back
		})
	}
}

// A connection whose target is another one carries nothing: the address has a new owner,
// or the target was restarted, or it is leaving.
func TestForward_SendsNothingToUnverifiedTarget(t *testing.T) {
	for _, identity := range []string{
		`{"instance":"u","service":"s"}`, `{"instance":"t","service":"other"}`, `{"instance":"t","service":"s","leaving":true}`,
		`{"instance":"t","service":"s","incarnation":5}`, `{}`, `not JSON`,
	} {
		t.Run(identity, func(t *testing.T) {
			is := is.New(t)
			target, d := newFakeTarget(t), newTestDaemon()
			target.identity = identity
			is.Equal(d.forwardNative(target, true, false).Result, dispatch.NotSent)
			is.Equal(target.requests.Load(), int64(0))
		})
	}
}

// A connection that its target closes after a response is not used again.
func TestForward_ObservesConnectionClose(t *testing.T) {
	is := is.New(t)
	target, d := newFakeTarget(t), newTestDaemon()
	target.respond = func(r *http.Request) string {
		return strings.Replace(validResponse(r), "Content-Length", "Connection: close\r\nContent-Length", 1)
	}
	is.Equal(d.forwardNative(target, false, true).Result, dispatch.Complete)
	is.Equal(d.forwardNative(target, false, true).Result, dispatch.Complete)
	is.Equal(target.connections.Load(), int64(2))
}

// Bytes after a response belong to no request: the connection carries nothing more.
func TestForward_DropsConnectionWithTrailingBytes(t *testing.T) {
	is := is.New(t)
	target, d := newFakeTarget(t), newPlainDaemon(0)
	target.respond = func(r *http.Request) string { return echoResponse(r) + "HTTP/1.1 200 OK\r\n" }
	is.Equal(string(d.forwardPlain(target, "a").Response.Body), "of a")
	is.Equal(len(d.pool.idle), 0)
	target.respond = echoResponse
	is.Equal(string(d.forwardPlain(target, "b").Response.Body), "of b")
	is.Equal(target.connections.Load(), int64(2))
}

// A late response to an earlier request is skipped, a few times, and never taken for the
// response to this one.
func TestForward_SkipsResponsesToOtherRequests(t *testing.T) {
	is := is.New(t)
	target, d := newFakeTarget(t), newPlainDaemon(0)
	target.respond = func(r *http.Request) string {
		return plainResponse("old", "of old") + plainResponse("older", "") + echoResponse(r)
	}
	finished := d.forwardPlain(target, "a")
	is.Equal(finished.Result, dispatch.Complete)
	is.Equal(string(finished.Response.Body), "of a")
	target, d = newFakeTarget(t), newPlainDaemon(0)
	target.respond = func(r *http.Request) string {
		return strings.Repeat(plainResponse("old", ""), maxStaleResponses+1) + echoResponse(r)
	}
	is.Equal(d.forwardPlain(target, "a").Result, dispatch.MayHaveRun)
}

// A target that sends a header without end costs no more than a header may.
func TestForward_BoundsResponseHeader(t *testing.T) {
	is := is.New(t)
	target, d := newFakeTarget(t), newPlainDaemon(0)
	tooLarge := strings.Repeat("X-More: "+strings.Repeat("y", 1000)+"\r\n", 3*maxResponseHeader/1000)
	target.respond = func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: a\r\n" + tooLarge + "\r\n"
	}
	is.Equal(d.forwardPlain(target, "a").Result, dispatch.MayHaveRun)
	// One within the bound is read, however much the connection has carried before.
	target, d = newFakeTarget(t), newPlainDaemon(0)
	target.respond = func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Large: " + strings.Repeat("y", maxResponseHeader/2) + "\r\nId: " + r.Header.Get("Id") + "\r\n\r\n"
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		is.Equal(d.forwardPlain(target, id).Result, dispatch.Complete)
	}
	is.Equal(target.connections.Load(), int64(1))
}

// After a freeze, or with no time left, nothing may be sent.
func TestMaySend_DeadlineAndFreeze(t *testing.T) {
	is := is.New(t)
	is.True(MaySend(100, 200, 50))
	is.True(!MaySend(200, 200, 50))
	is.True(!MaySend(ids.Time(3*time.Second), ids.Time(time.Hour), ids.Time(time.Second)))
}
