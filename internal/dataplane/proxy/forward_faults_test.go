package proxy

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/transport/process"
)

// A request whose response is truncated is sent once and reported as MayHaveRun, and the next
// request gets its own response.
func TestForward_ResponseCutAtEveryByte(t *testing.T) {
	response := plainResponse("cut-000", "of cut-000")
	for _, mode := range closeModes {
		t.Run(string(mode), func(t *testing.T) {
			target, d := newFaultyTarget(t, mode), newPlainDaemon(0)
			for cut := range len(response) + 1 {
				target.setCuts(-1, cut)
				id := fmt.Sprintf("cut-%03d", cut)
				finished := d.forwardPlain(target, id)
				want := dispatch.MayHaveRun
				if cut == len(response) {
					want = dispatch.Complete
				}
				if finished.Result != want || target.requestCount(id) != 1 {
					t.Fatalf("response cut at byte %d: %v (%s), received %d times", cut, finished.Result, finished.Reason, target.requestCount(id))
				}
				target.setCuts(-1, -1)
				next := fmt.Sprintf("nxt-%03d", cut)
				if finished := d.forwardPlain(target, next); finished.Result != dispatch.Complete || string(finished.Response.Body) != "of "+next {
					t.Fatalf("request after a response cut at byte %d: %v (%s) %q", cut, finished.Result, finished.Reason, finished.Response.Body)
				}
				d.closeIdleConnections()
			}
		})
	}
}

// A request whose connection is closed while it is being sent is reported as MayHaveRun;
// NotSent is allowed only if the target read no byte of it.
func TestForward_RequestCutAtEveryByte(t *testing.T) {
	for _, mode := range closeModes {
		t.Run(string(mode), func(t *testing.T) {
			target, d := newFaultyTarget(t, mode), newPlainDaemon(0)
			for cut := range 60 {
				target.setCuts(cut, -1)
				if finished := d.forwardPlain(target, "a"); finished.Result != dispatch.MayHaveRun && (cut != 0 || finished.Result != dispatch.NotSent) {
					t.Fatalf("request cut at byte %d: %v (%s)", cut, finished.Result, finished.Reason)
				}
			}
		})
	}
}

// A connection that was closed while idle isn't used; a request whose connection is closed
// while in use isn't resent.
func TestForward_ConnectionEndsIdleOrInUse(t *testing.T) {
	for _, mode := range closeModes {
		t.Run(string(mode), func(t *testing.T) {
			target, d := newFaultyTarget(t, mode), newPlainDaemon(0)
			if finished := d.forwardPlain(target, "first"); finished.Result != dispatch.Complete {
				t.Fatal(finished.Reason)
			}
			target.closeAll()
			if finished := d.forwardPlain(target, "second"); finished.Result != dispatch.Complete || target.requestCount("second") != 1 {
				t.Fatalf("closed while idle: %v %s, received %d times", finished.Result, finished.Reason, target.requestCount("second"))
			}
			target.setCuts(-1, 0)
			if finished := d.forwardPlain(target, "third"); finished.Result != dispatch.MayHaveRun || target.requestCount("third") != 1 {
				t.Fatalf("closed while in use: %v %s, received %d times", finished.Result, finished.Reason, target.requestCount("third"))
			}
		})
	}
}

// The next run of a target may have another address while the earlier run still responds on
// an idle connection, which must not be used any more.
func TestForward_IgnoresConnectionToEarlierRun(t *testing.T) {
	earlier, later, d := newFaultyTarget(t, closeConnection), newFaultyTarget(t, closeConnection), newPlainDaemon(0)
	if finished := d.forwardPlain(earlier, "first"); finished.Result != dispatch.Complete {
		t.Fatal(finished.Reason)
	}
	if finished := d.forwardPlain(later, "second"); finished.Result != dispatch.Complete || earlier.requestCount("second") != 0 || later.requestCount("second") != 1 {
		t.Fatalf("%v %s, received %d times by the earlier run, %d times by the later", finished.Result, finished.Reason, earlier.requestCount("second"), later.requestCount("second"))
	}
}

// Swapped, duplicated, premature or late responses are never returned for another request.
func TestForward_ResponsesOutOfOrder(t *testing.T) {
	previous := "none"
	var mu sync.Mutex
	for name, respond := range map[string]func(id string) string{
		"duplicated": func(id string) string { return plainResponse(id, "of "+id) + plainResponse(id, "of "+id) },
		"late": func(id string) string {
			mu.Lock()
			defer mu.Unlock()
			old := previous
			previous = id
			return plainResponse(old, "of "+old)
		},
		"swapped":   func(id string) string { return plainResponse("next", "of next") + plainResponse(id, "of "+id) },
		"premature": func(id string) string { return plainResponse(id, "of "+id) + plainResponse("next", "of next") },
		"two ids": func(id string) string {
			return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: other\r\nId: " + id + "\r\n\r\nof "
		},
		"two lengths": func(id string) string {
			return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\nId: " + id + "\r\n\r\nof "
		},
		"interim response first": func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + plainResponse(id, "of "+id) },
	} {
		t.Run(name, func(t *testing.T) {
			target, d := newFaultyTarget(t, closeConnection), newPlainDaemon(0)
			target.setResponse(respond)
			d.Options.MaxResponseBytes = 1000
			for _, id := range []string{"one", "next", "two", "three"} {
				finished := d.forwardRequest(target, &ClientRequest{AttemptID: id}, false, 100*time.Millisecond)
				if finished.Result == dispatch.Complete && string(finished.Response.Body) != "of "+id {
					t.Errorf("request %q got response %q", id, finished.Response.Body)
				}
				if target.requestCount(id) != 1 {
					t.Errorf("request %q received %d times", id, target.requestCount(id))
				}
			}
		})
	}
}

// A process that resumes from a pause sends no request after the request's deadline, after the
// end of the lease, or before Control has stepped again.
func TestForward_SendsNothingAfterPause(t *testing.T) {
	now := process.Now().Add(time.Hour)
	for name, c := range map[string]struct{ deadline, sendBefore, lastStep ids.Time }{
		"past its deadline": {process.Now(), now, now},
		"past its lease":    {now, process.Now(), now},
		"not yet stepped":   {now, now, process.Now().Add(-2 * pauseThreshold)},
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %t", name, reused), func(t *testing.T) {
				target, d := newFaultyTarget(t, closeConnection), newPlainDaemon(0)
				if reused {
					if finished := d.forwardPlain(target, "first"); finished.Result != dispatch.Complete {
						t.Fatal(finished.Reason)
					}
				}
				d.lastStep.Store(int64(min(c.lastStep, process.Now())))
				finished := d.forward(newAttemptContexts(),
					&ClientRequest{AttemptID: "late", Method: "POST", URI: "/x", Header: http.Header{"Id": {"late"}}},
					dispatch.Forward{
						ID: 1, Sequence: 1, Deadline: c.deadline, SendBefore: c.sendBefore,
						Target: targets.Target{Instance: "t", Service: "s", Address: ids.Address(target.Addr().String())},
					},
				)
				if finished.Result != dispatch.NotSent || target.requestCount("late") != 0 {
					t.Errorf("%v (%s), received %d times", finished.Result, finished.Reason, target.requestCount("late"))
				}
			})
		}
	}
}
