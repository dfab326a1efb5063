package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/transport/process"
)

// plain is a dialect that names each request's instance, and so asks nobody first.
type plain struct{ idle time.Duration }

func (plain) Greets() bool { return false }

func (plain) Outgoing(c *ClientRequest, _ dispatch.Forward, _ time.Duration) http.Header {
	return Strip(c.Header)
}

func (p plain) Judge(res *http.Response, body []byte, c *ClientRequest, _ dispatch.Forward) (Verdict, error) {
	v := Verdict{How: dispatch.Complete, Response: Sealed(res, body), Again: true, Idle: p.idle}
	switch res.Header.Get("Id") {
	case c.ID:
		return v, nil
	case "":
		return v, errs.New("check response", "", "no id")
	}
	return Verdict{Other: true, Again: true}, nil
}

func plainCarrier(idle time.Duration) *Daemon {
	d := newCarrier()
	d.trade = plain{idle}
	d.connections.greets = false
	return d
}

func named(r *http.Request, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nId: %s\r\n\r\n%s", len(body), id, body)
}

func echo(r *http.Request) string { return named(r, r.Header.Get("Id"), "of "+r.Header.Get("Id")) }

func (d *Daemon) put(s *stand, id string, careful bool) dispatch.AttemptFinished {
	return d.send(s, &ClientRequest{ID: id}, careful)
}

func (d *Daemon) putHeld(s *stand, id string, h *MemoryReservation) dispatch.AttemptFinished {
	return d.send(s, &ClientRequest{ID: id, Memory: h}, false)
}

func (d *Daemon) send(s *stand, c *ClientRequest, careful bool) dispatch.AttemptFinished {
	return d.sendWithin(s, c, careful, 5*time.Second)
}

func (d *Daemon) sendWithin(s *stand, c *ClientRequest, careful bool, within time.Duration) dispatch.AttemptFinished {
	d.beat.Store(int64(process.Now()))
	c.Method, c.URI, c.Header = "POST", "/x", http.Header{"Id": {c.ID}}
	return d.carry(c, dispatch.Forward{
		ID: 1, Turn: 1, Careful: careful, Deadline: process.Now().Add(within), SendBefore: process.Now().Add(within),
		Target: targets.Target{Instance: "t", Service: "s", Address: ids.Address(s.Addr().String())},
	})
}

// lay makes the one idle connection look as if it had been idle for a while.
func (d *Daemon) lay(t *testing.T, idle time.Duration) {
	t.Helper()
	list := d.connections.idle["t"]
	if len(list) != 1 {
		t.Fatalf("%d circuits are held, not one", len(list))
	}
	list[0].idled = process.Now().Add(-idle)
}

func TestCarefulConnections(t *testing.T) {
	is := is.New(t)
	s, d := newStand(t), plainCarrier(0)
	s.answer = echo
	for i, c := range []struct {
		idle    time.Duration
		careful bool
		circs   int64
	}{
		{0, true, 1},
		{carefulIdle - 200*time.Millisecond, true, 1},
		{carefulIdle + time.Millisecond, false, 1}, // one that may be sent again may try it
		{carefulIdle + time.Millisecond, true, 2},
		{idleUsable + time.Millisecond, false, 3},
	} {
		if i > 0 {
			d.lay(t, c.idle)
		}
		id := fmt.Sprint("r", i)
		is.Equal(string(d.put(s, id, c.careful).Response.Body), "of "+id)
		is.Equal(s.circs.Load(), c.circs)
	}
	d.lay(t, idleUsable+time.Millisecond)
	d.connections.sweep()
	is.Equal(len(d.connections.idle), 0)
}

// A target's own word on how long a connection may be idle is kept, with a margin.
func TestTargetsIdleTime(t *testing.T) {
	is := is.New(t)
	for idle, want := range map[time.Duration]int64{9 * time.Second: 1, time.Second: 2} {
		s, d := newStand(t), plainCarrier(idle)
		s.answer = echo
		is.Equal(d.put(s, "a", false).Result, dispatch.Complete)
		is.Equal(d.put(s, "b", false).Result, dispatch.Complete)
		is.Equal(s.circs.Load(), want)
	}
	s, d := newStand(t), plainCarrier(9*time.Second)
	s.answer = echo
	d.put(s, "a", false)
	d.lay(t, 9*time.Second-idleMargin+time.Millisecond)
	d.put(s, "b", false)
	is.Equal(s.circs.Load(), int64(2))
	d.lay(t, 7*time.Second) // longer than where nothing is said
	d.put(s, "c", false)
	is.Equal(s.circs.Load(), int64(2))
}

// Bytes after an answer belong to nobody: the connection carries nothing more.
func TestBytesAfterAnAnswer(t *testing.T) {
	is := is.New(t)
	s, d := newStand(t), plainCarrier(0)
	s.answer = func(r *http.Request) string { return echo(r) + "HTTP/1.1 200 OK\r\n" }
	is.Equal(string(d.put(s, "a", false).Response.Body), "of a")
	is.Equal(len(d.connections.idle), 0)
	s.answer = echo
	is.Equal(string(d.put(s, "b", false).Response.Body), "of b")
	is.Equal(s.circs.Load(), int64(2))
}

// A late answer to an earlier request stands in this one's place: it is read past,
// a few times, and never taken for this one's.
func TestAnswersToOthersAreReadPast(t *testing.T) {
	is := is.New(t)
	s, d := newStand(t), plainCarrier(0)
	s.answer = func(r *http.Request) string { return named(r, "old", "of old") + named(r, "older", "") + echo(r) }
	b := d.put(s, "a", false)
	is.Equal(b.Result, dispatch.Complete)
	is.Equal(string(b.Response.Body), "of a")
	s, d = newStand(t), plainCarrier(0)
	s.answer = func(r *http.Request) string { return strings.Repeat(named(r, "old", ""), mostOthers+1) + echo(r) }
	is.Equal(d.put(s, "a", false).Result, dispatch.MayHaveRun)
}

// A target that sends a head without end costs no more than a head may.
func TestAHeadWithoutEnd(t *testing.T) {
	is := is.New(t)
	s, d := newStand(t), plainCarrier(0)
	head := strings.Repeat("X-More: "+strings.Repeat("y", 1000)+"\r\n", 3*mostHead/1000)
	s.answer = func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: a\r\n" + head + "\r\n"
	}
	is.Equal(d.put(s, "a", false).Result, dispatch.MayHaveRun)
	// One of a proper size is read, however much the connection has carried before.
	s, d = newStand(t), plainCarrier(0)
	s.answer = func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Large: " + strings.Repeat("y", mostHead/2) + "\r\nId: " + r.Header.Get("Id") + "\r\n\r\n"
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		is.Equal(d.put(s, id, false).Result, dispatch.Complete)
	}
	is.Equal(s.circs.Load(), int64(1))
}
