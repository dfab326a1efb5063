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
	is.Equal(sent.Get("X-Own"), "") // hop-by-hop
	for _, header := range finished.Response.Header {
		is.True(header.Name != "Keep-Alive")
	}
	// A pooled connection is used unless the dispatcher requires a new one.
	is.Equal(d.forwardNative(target, false, true).Result, dispatch.Complete)
	is.Equal(target.connections.Load(), int64(1))
	is.Equal(d.forwardNative(target, true, false).Result, dispatch.Complete)
	is.Equal(target.connections.Load(), int64(2))
}

// An invalid response is discarded, and its request isn't resent.
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
			is.New(t).Equal(target.requests.Load(), int64(1)) // never resent
		})
	}
}

// No request is sent if the identity document shows another instance or service, another run,
// or a target that is leaving, or if it is invalid.
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

// A connection is not reused after a response with Connection: close.
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

// A connection with trailing bytes after a response is not reused.
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

// Responses to other requests are skipped, up to maxStaleResponses, and never returned for
// this request.
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

// A response header over maxResponseHeader is rejected.
func TestForward_BoundsResponseHeader(t *testing.T) {
	is := is.New(t)
	target, d := newFakeTarget(t), newPlainDaemon(0)
	tooLarge := strings.Repeat("X-More: "+strings.Repeat("y", 1000)+"\r\n", 3*maxResponseHeader/1000)
	target.respond = func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: a\r\n" + tooLarge + "\r\n"
	}
	is.Equal(d.forwardPlain(target, "a").Result, dispatch.MayHaveRun)
	// The limit applies to each response, not to the whole connection.
	target, d = newFakeTarget(t), newPlainDaemon(0)
	target.respond = func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Large: " + strings.Repeat("y", maxResponseHeader/2) + "\r\nId: " + r.Header.Get("Id") + "\r\n\r\n"
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		is.Equal(d.forwardPlain(target, id).Result, dispatch.Complete)
	}
	is.Equal(target.connections.Load(), int64(1))
}

// Nothing may be sent after the deadline or after a pause of the process.
func TestMaySend_DeadlineAndPause(t *testing.T) {
	is := is.New(t)
	is.True(MaySend(100, 200, 50))
	is.True(!MaySend(200, 200, 50))
	is.True(!MaySend(ids.Time(3*time.Second), ids.Time(time.Hour), ids.Time(time.Second)))
}
