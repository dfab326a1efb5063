package proxy

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"dunlinwell/internal/dataplane/dispatch"
)

func (d *Daemon) carryTo(f *faulty, id string) dispatch.Back {
	return d.put(&stand{Listener: f}, id, false)
}

func (d *Daemon) carryWithin(f *faulty, id string, within time.Duration) dispatch.Back {
	return d.sendWithin(&stand{Listener: f}, &ClientRequest{ID: id}, false, within)
}

// Wherever an answer ends early, and however, the request has left once, nobody
// says that it didn't, and the next one gets its own answer.
func TestAnAnswerThatEndsAtEachByte(t *testing.T) {
	whole := named(nil, "cut-000", "of cut-000")
	for _, end := range []ending{resets, closes, halfCloses} {
		f, d := newFaulty(t, end), plainCarrier(0)
		for cut := range len(whole) + 1 {
			f.set(-1, cut)
			id := fmt.Sprintf("cut-%03d", cut)
			b := d.carryTo(f, id)
			want := dispatch.Maybe
			if cut == len(whole) {
				want = dispatch.Sealed
			}
			if b.How != want || f.runs(id) != 1 {
				t.Fatalf("%s at byte %d: %v (%s), it ran %d times", end, cut, b.How, b.Why, f.runs(id))
			}
			f.set(-1, -1)
			next := fmt.Sprintf("nxt-%03d", cut)
			if b := d.carryTo(f, next); b.How != dispatch.Sealed || string(b.Response.Body) != "of "+next {
				t.Fatalf("%s at byte %d, the next: %v (%s) %q", end, cut, b.How, b.Why, b.Response.Body)
			}
			d.forgetCircuits()
		}
	}
}

// forgetCircuits closes what is idle, so that the next request meets a new one.
func (d *Daemon) forgetCircuits() {
	for c := d.circuits.take("t", false); c != nil; c = d.circuits.take("t", false) {
		c.Close()
	}
}

// Wherever a request's connection ends, a byte of it may have been read: that
// is unknown, it isn't sent again, and it is never said not to have left.
func TestARequestThatEndsAtEachByte(t *testing.T) {
	for _, end := range []ending{resets, closes, halfCloses} {
		f, d := newFaulty(t, end), plainCarrier(0)
		for cut := range 60 {
			f.set(cut, -1)
			if b := d.carryTo(f, "a"); b.How != dispatch.Maybe && !(cut == 0 && b.How == dispatch.NotSent) {
				t.Fatalf("%s at byte %d: %v (%s)", end, cut, b.How, b.Why)
			}
		}
	}
}

// A connection that was idle when its target closed it carries nothing more; one
// that ends as it is used has carried its request, which isn't sent elsewhere.
func TestAConnectionThatEndsWhileIdleOrAsItIsUsed(t *testing.T) {
	for _, end := range []ending{resets, closes, halfCloses} {
		f, d := newFaulty(t, end), plainCarrier(0)
		if b := d.carryTo(f, "first"); b.How != dispatch.Sealed {
			t.Fatal(b.Why)
		}
		f.endAll()
		if b := d.carryTo(f, "second"); b.How != dispatch.Sealed || f.runs("second") != 1 {
			t.Fatalf("%s while idle: %v %s, it ran %d times", end, b.How, b.Why, f.runs("second"))
		}
		f.set(-1, 0)
		if b := d.carryTo(f, "third"); b.How != dispatch.Maybe || f.runs("third") != 1 {
			t.Fatalf("%s as it is used: %v %s, it ran %d times", end, b.How, b.Why, f.runs("third"))
		}
	}
}

// The next run of a target may be elsewhere while its earlier one still answers
// on an idle connection: nothing more goes there.
func TestAnIdleConnectionToAnEarlierRunIsNotUsed(t *testing.T) {
	earlier, later, d := newFaulty(t, closes), newFaulty(t, closes), plainCarrier(0)
	if b := d.carryTo(earlier, "first"); b.How != dispatch.Sealed {
		t.Fatal(b.Why)
	}
	if b := d.carryTo(later, "second"); b.How != dispatch.Sealed || earlier.runs("second") != 0 || later.runs("second") != 1 {
		t.Fatalf("%v %s, it ran %d times at the earlier run, %d times at the later", b.How, b.Why, earlier.runs("second"), later.runs("second"))
	}
}

// Answers that are swapped, doubled, pipelined ahead of their question, or late
// are never given to another request.
func TestAnswersOutOfTheirOrder(t *testing.T) {
	previous := "none"
	var mu sync.Mutex
	for name, answer := range map[string]func(id string) string{
		"doubled": func(id string) string { return named(nil, id, "of "+id) + named(nil, id, "of "+id) },
		"late": func(id string) string {
			mu.Lock()
			defer mu.Unlock()
			old := previous
			previous = id
			return named(nil, old, "of "+old)
		},
		"swapped": func(id string) string { return named(nil, "next", "of next") + named(nil, id, "of "+id) },
		"ahead":   func(id string) string { return named(nil, id, "of "+id) + named(nil, "next", "of next") },
		"two names": func(id string) string {
			return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: other\r\nId: " + id + "\r\n\r\nof "
		},
		"two lengths": func(id string) string {
			return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\nId: " + id + "\r\n\r\nof "
		},
		"before question": func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + named(nil, id, "of "+id) },
	} {
		f, d := newFaulty(t, closes), plainCarrier(0)
		f.mu.Lock()
		f.answer = answer
		f.mu.Unlock()
		for _, id := range []string{"one", "next", "two", "three"} {
			d.Params.MaxResponse = 1000
			b := d.carryWithin(f, id, 100*time.Millisecond)
			if b.How == dispatch.Sealed && string(b.Response.Body) != "of "+id {
				t.Errorf("%s: %q was given %q", name, id, b.Response.Body)
			}
			if f.runs(id) != 1 {
				t.Errorf("%s: %q ran %d times", name, id, f.runs(id))
			}
		}
	}
}
