package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunlinwell/internal/dataplane/dispatch"
)

// Guards against merging the beginning of another response with the one that follows it: the
// response was passed on, or counted as not executed, by the other's status.
func TestForward_ResponseAfterCutResponse(t *testing.T) {
	const statusLine, id, more, end = "HTTP/1.1 421 Misdirected Request\r\n", "Id: other\r\n", "Date: today\r\nNot-Executed: 1\r\n", "Content-Length: 4\r\n\r\nbody"
	for name, other := range map[string]string{"id first": statusLine + id + more + end, "id last": statusLine + more + id + end} {
		t.Run(name, func(t *testing.T) {
			target, d := newArrivalTarget(t), newPlainDaemon(0)
			for cut := range len(other) + 1 {
				target.again = func([]string) string { return other[:cut] }
				request := &ClientRequest{AttemptID: fmt.Sprintf("cut-%03d", cut)}
				finished := d.forwardRequest(target, request, false, 100*time.Millisecond)
				whole := finished.Response.Status == http.StatusOK && string(finished.Response.Body) == arrivalBody(request.AttemptID, 1)
				if finished.Result != dispatch.MayHaveRun && (finished.Result != dispatch.Complete || !whole) {
					t.Errorf("after %q: %v (%s), status %d, body %q", other[:cut], finished.Result, finished.Reason, finished.Response.Status, finished.Response.Body)
				}
			}
		})
	}
}

// Guards against reading the response from within its own body: a cut response to another request
// swallowed its beginning as the rest of a body.
func TestForward_ResponseSwallowedByCutResponse(t *testing.T) {
	const embedded = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nbad"
	target, d := newArrivalTarget(t), newPlainDaemon(0)
	response := plainResponse("a", embedded)
	target.respond = func(*http.Request, int) string { return response }
	for cut := range 8 {
		missing := strings.Index(response, embedded)
		target.again = func([]string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: %d\r\n\r\n", cut+missing) + strings.Repeat("x", cut)
		}
		finished := d.forwardRequest(target, &ClientRequest{AttemptID: "a"}, false, 100*time.Millisecond)
		if finished.Result != dispatch.MayHaveRun {
			t.Errorf("cut after %d bytes of the body: %v, body %q", cut, finished.Result, finished.Response.Body)
		}
	}
}

// Headers that name a protocol version are no sign of merged responses.
func TestForward_HeadersWithProtocolVersion(t *testing.T) {
	target, d := newArrivalTarget(t), newPlainDaemon(0)
	target.respond = func(r *http.Request, _ int) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nVia: HTTP/1.1 cache\r\nUpgrade: HTTP/2.0\r\nContent-Length: 0\r\n\r\n"
	}
	if finished := d.forwardPlain(target, "a"); finished.Result != dispatch.Complete {
		t.Errorf("%v (%s)", finished.Result, finished.Reason)
	}
}
