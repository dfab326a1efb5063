package proxy

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"dunlinwell/internal/dataplane/dispatch"
)

func (d *Daemon) forwardTo(f *faultyTarget, id string) dispatch.AttemptFinished {
	return d.forwardPlain(&fakeTarget{Listener: f}, id, false)
}

func (d *Daemon) forwardToWithin(f *faultyTarget, id string, within time.Duration) dispatch.AttemptFinished {
	return d.forwardRequestWithin(&fakeTarget{Listener: f}, &ClientRequest{AttemptID: id}, false, within)
}

// Wherever an answer ends early, and however, the request has left once, nobody
// says that it didn't, and the next one gets its own answer.
func TestForward_ResponseCutAtEveryByte(t *testing.T) {
	whole := responseFor(nil, "cut-000", "of cut-000")
	for _, end := range []connectionEnd{resetConnection, closeConnection, halfCloseConnection} {
		f, d := newFaultyTarget(t, end), newPlainDaemon(0)
		for cut := range len(whole) + 1 {
			f.set(-1, cut)
			id := fmt.Sprintf("cut-%03d", cut)
			b := d.forwardTo(f, id)
			want := dispatch.MayHaveRun
			if cut == len(whole) {
				want = dispatch.Complete
			}
			if b.Result != want || f.runs(id) != 1 {
				t.Fatalf("%s at byte %d: %v (%s), it ran %d times", end, cut, b.Result, b.Reason, f.runs(id))
			}
			f.set(-1, -1)
			next := fmt.Sprintf("nxt-%03d", cut)
			if b := d.forwardTo(f, next); b.Result != dispatch.Complete || string(b.Response.Body) != "of "+next {
				t.Fatalf("%s at byte %d, the next: %v (%s) %q", end, cut, b.Result, b.Reason, b.Response.Body)
			}
			d.closeIdleConnections()
		}
	}
}

// closeIdleConnections closes what is idle, so that the next request meets a new one.
func (d *Daemon) closeIdleConnections() {
	for c := d.pool.takeAny("t", false); c != nil; c = d.pool.takeAny("t", false) {
		c.Close()
	}
}

// Wherever a request's connection ends, a byte of it may have been read: that
// is unknown, it isn't sent again, and it is never said not to have left.
func TestForward_RequestCutAtEveryByte(t *testing.T) {
	for _, end := range []connectionEnd{resetConnection, closeConnection, halfCloseConnection} {
		f, d := newFaultyTarget(t, end), newPlainDaemon(0)
		for cut := range 60 {
			f.set(cut, -1)
			if b := d.forwardTo(f, "a"); b.Result != dispatch.MayHaveRun && !(cut == 0 && b.Result == dispatch.NotSent) {
				t.Fatalf("%s at byte %d: %v (%s)", end, cut, b.Result, b.Reason)
			}
		}
	}
}

// A connection that was idle when its target closed it carries nothing more; one
// that ends as it is used has carried its request, which isn't sent elsewhere.
func TestForward_ConnectionEndsIdleOrInUse(t *testing.T) {
	for _, end := range []connectionEnd{resetConnection, closeConnection, halfCloseConnection} {
		f, d := newFaultyTarget(t, end), newPlainDaemon(0)
		if b := d.forwardTo(f, "first"); b.Result != dispatch.Complete {
			t.Fatal(b.Reason)
		}
		f.endAll()
		if b := d.forwardTo(f, "second"); b.Result != dispatch.Complete || f.runs("second") != 1 {
			t.Fatalf("%s while idle: %v %s, it ran %d times", end, b.Result, b.Reason, f.runs("second"))
		}
		f.set(-1, 0)
		if b := d.forwardTo(f, "third"); b.Result != dispatch.MayHaveRun || f.runs("third") != 1 {
			t.Fatalf("%s as it is used: %v %s, it ran %d times", end, b.Result, b.Reason, f.runs("third"))
		}
	}
}

// The next run of a target may be elsewhere while its earlier one still answers
// on an idle connection: nothing more goes there.
func TestForward_IgnoresConnectionToEarlierRun(t *testing.T) {
	earlier, later, d := newFaultyTarget(t, closeConnection), newFaultyTarget(t, closeConnection), newPlainDaemon(0)
	if b := d.forwardTo(earlier, "first"); b.Result != dispatch.Complete {
		t.Fatal(b.Reason)
	}
	if b := d.forwardTo(later, "second"); b.Result != dispatch.Complete || earlier.runs("second") != 0 || later.runs("second") != 1 {
		t.Fatalf("%v %s, it ran %d times at the earlier run, %d times at the later", b.Result, b.Reason, earlier.runs("second"), later.runs("second"))
	}
}

// Answers that are swapped, doubled, pipelined ahead of their question, or late
// are never given to another request.
func TestForward_ResponsesOutOfOrder(t *testing.T) {
	previous := "none"
	var mu sync.Mutex
	for name, answer := range map[string]func(id string) string{
		"doubled": func(id string) string { return responseFor(nil, id, "of "+id) + responseFor(nil, id, "of "+id) },
		"late": func(id string) string {
			mu.Lock()
			defer mu.Unlock()
			old := previous
			previous = id
			return responseFor(nil, old, "of "+old)
		},
		"swapped": func(id string) string { return responseFor(nil, "next", "of next") + responseFor(nil, id, "of "+id) },
		"ahead":   func(id string) string { return responseFor(nil, id, "of "+id) + responseFor(nil, "next", "of next") },
		"two names": func(id string) string {
			return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: other\r\nId: " + id + "\r\n\r\nof "
		},
		"two lengths": func(id string) string {
			return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\nId: " + id + "\r\n\r\nof "
		},
		"before question": func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + responseFor(nil, id, "of "+id) },
	} {
		f, d := newFaultyTarget(t, closeConnection), newPlainDaemon(0)
		f.mu.Lock()
		f.respond = answer
		f.mu.Unlock()
		for _, id := range []string{"one", "next", "two", "three"} {
			d.Options.MaxResponseBytes = 1000
			b := d.forwardToWithin(f, id, 100*time.Millisecond)
			if b.Result == dispatch.Complete && string(b.Response.Body) != "of "+id {
				t.Errorf("%s: %q was given %q", name, id, b.Response.Body)
			}
			if f.runs(id) != 1 {
				t.Errorf("%s: %q ran %d times", name, id, f.runs(id))
			}
		}
	}
}
