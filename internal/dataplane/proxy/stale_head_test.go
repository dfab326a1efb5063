package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunlinwell/internal/dataplane/dispatch"
)

// Guards against reading a late response with the method of the wrong request: whether it has a
// body depends on its own request's method, so that a part of a body was read as a response, or a
// response as a part of a body.
func TestForward_LateResponseAroundHead(t *testing.T) {
	// embedded stands in a body, and would be the response to the request "second".
	embedded := "HTTP/1.1 200 OK\r\nId: second\r\nArrival: 99\r\nContent-Length: 3\r\n\r\nbad"
	for name, c := range map[string]struct {
		first, second string
		respond       func(r *http.Request, arrival int) string
	}{
		"before the response to HEAD": {
			http.MethodGet, http.MethodHead,
			func(r *http.Request, arrival int) string {
				if r.Method == http.MethodHead {
					return arrivalResponse(r, arrival)
				}
				return plainResponse(r.Header.Get("Id"), embedded)
			},
		},
		"of HEAD": {
			http.MethodHead, http.MethodGet,
			func(r *http.Request, arrival int) string {
				if r.Method == http.MethodHead {
					// As long as what stands before embedded in the other response.
					return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: %d\r\n\r\n", strings.Index(plainResponse("second", embedded), embedded))
				}
				return plainResponse(r.Header.Get("Id"), embedded)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			target, d := newArrivalTarget(t), newPlainDaemon(0)
			target.respond, target.again = c.respond, lastAgain
			for _, request := range []*ClientRequest{{AttemptID: "first", Method: c.first}, {AttemptID: "second", Method: c.second}} {
				finished := d.forwardRequest(target, request, false, 5*time.Second)
				if finished.Result != dispatch.Complete {
					t.Fatalf("%s: %v (%s)", request.AttemptID, finished.Result, finished.Reason)
				}
				for _, header := range finished.Response.Header {
					if header.Name == "Arrival" && header.Value != "1" {
						t.Errorf("%s: response of arrival %s", request.AttemptID, header.Value)
					}
				}
				if string(finished.Response.Body) == "bad" {
					t.Errorf("%s: a part of a body was taken for the response", request.AttemptID)
				}
			}
		})
	}
}
