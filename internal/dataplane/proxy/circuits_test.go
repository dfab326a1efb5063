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

// plainProtocol is a dialect that names each request's instance, and so asks nobody first.
type plainProtocol struct{ idleTimeout time.Duration }

func (plainProtocol) VerifiesIdentity() bool { return false }

func (plainProtocol) RequestHeader(c *ClientRequest, _ dispatch.Forward, _ time.Duration) http.Header {
	return StripHopByHopHeaders(c.Header)
}

func (p plainProtocol) CheckResponse(res *http.Response, body []byte, c *ClientRequest, _ dispatch.Forward) (CheckedResponse, error) {
	v := CheckedResponse{Result: dispatch.Complete, Response: NewResponse(res, body), KeepAlive: true, IdleTimeout: p.idleTimeout}
	switch res.Header.Get("Id") {
	case c.AttemptID:
		return v, nil
	case "":
		return v, errs.New("check response", "", "no id")
	}
	return CheckedResponse{ForOtherRequest: true, KeepAlive: true}, nil
}

func newPlainDaemon(idle time.Duration) *Daemon {
	d := newTestDaemon()
	d.targetProtocol = plainProtocol{idle}
	d.pool.verifyIdentity = false
	return d
}

func responseFor(r *http.Request, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nId: %s\r\n\r\n%s", len(body), id, body)
}

func echoResponse(r *http.Request) string {
	return responseFor(r, r.Header.Get("Id"), "of "+r.Header.Get("Id"))
}

func (d *Daemon) forwardPlain(s *fakeTarget, id string, careful bool) dispatch.AttemptFinished {
	return d.forwardRequest(s, &ClientRequest{AttemptID: id}, careful)
}

func (d *Daemon) forwardReserved(s *fakeTarget, id string, h *MemoryReservation) dispatch.AttemptFinished {
	return d.forwardRequest(s, &ClientRequest{AttemptID: id, Memory: h}, false)
}

func (d *Daemon) forwardRequest(s *fakeTarget, c *ClientRequest, careful bool) dispatch.AttemptFinished {
	return d.forwardRequestWithin(s, c, careful, 5*time.Second)
}

func (d *Daemon) forwardRequestWithin(s *fakeTarget, c *ClientRequest, careful bool, within time.Duration) dispatch.AttemptFinished {
	d.lastStep.Store(int64(process.Now()))
	c.Method, c.URI, c.Header = "POST", "/x", http.Header{"Id": {c.AttemptID}}
	return d.forward(c, dispatch.Forward{
		ID: 1, Sequence: 1, RecentOnly: careful, Deadline: process.Now().Add(within), SendBefore: process.Now().Add(within),
		Target: targets.Target{Instance: "t", Service: "s", Address: ids.Address(s.Addr().String())},
	})
}

// ageIdleConnection makes the one idle connection look as if it had been idle for a while.
func (d *Daemon) ageIdleConnection(t *testing.T, idle time.Duration) {
	t.Helper()
	list := d.pool.idle["t"]
	if len(list) != 1 {
		t.Fatalf("%d circuits are held, not one", len(list))
	}
	list[0].idleSince = process.Now().Add(-idle)
}

func TestConnectionPool_RecentOnly(t *testing.T) {
	is := is.New(t)
	s, d := newFakeTarget(t), newPlainDaemon(0)
	s.respond = echoResponse
	for i, c := range []struct {
		idle    time.Duration
		careful bool
		circs   int64
	}{
		{0, true, 1},
		{recentIdleMax - 200*time.Millisecond, true, 1},
		{recentIdleMax + time.Millisecond, false, 1}, // one that may be sent again may try it
		{recentIdleMax + time.Millisecond, true, 2},
		{defaultMaxIdle + time.Millisecond, false, 3},
	} {
		if i > 0 {
			d.ageIdleConnection(t, c.idle)
		}
		id := fmt.Sprint("r", i)
		is.Equal(string(d.forwardPlain(s, id, c.careful).Response.Body), "of "+id)
		is.Equal(s.connections.Load(), c.circs)
	}
	d.ageIdleConnection(t, defaultMaxIdle+time.Millisecond)
	d.pool.closeExpired()
	is.Equal(len(d.pool.idle), 0)
}

// A target's own word on how long a connection may be idle is kept, with a margin.
func TestConnectionPool_ObservesTargetKeepAlive(t *testing.T) {
	is := is.New(t)
	for idle, want := range map[time.Duration]int64{9 * time.Second: 1, time.Second: 2} {
		s, d := newFakeTarget(t), newPlainDaemon(idle)
		s.respond = echoResponse
		is.Equal(d.forwardPlain(s, "a", false).Result, dispatch.Complete)
		is.Equal(d.forwardPlain(s, "b", false).Result, dispatch.Complete)
		is.Equal(s.connections.Load(), want)
	}
	s, d := newFakeTarget(t), newPlainDaemon(9*time.Second)
	s.respond = echoResponse
	d.forwardPlain(s, "a", false)
	d.ageIdleConnection(t, 9*time.Second-keepAliveMargin+time.Millisecond)
	d.forwardPlain(s, "b", false)
	is.Equal(s.connections.Load(), int64(2))
	d.ageIdleConnection(t, 7*time.Second) // longer than where nothing is said
	d.forwardPlain(s, "c", false)
	is.Equal(s.connections.Load(), int64(2))
}

// Bytes after an answer belong to nobody: the connection carries nothing more.
func TestForward_DropsConnectionWithTrailingBytes(t *testing.T) {
	is := is.New(t)
	s, d := newFakeTarget(t), newPlainDaemon(0)
	s.respond = func(r *http.Request) string { return echoResponse(r) + "HTTP/1.1 200 OK\r\n" }
	is.Equal(string(d.forwardPlain(s, "a", false).Response.Body), "of a")
	is.Equal(len(d.pool.idle), 0)
	s.respond = echoResponse
	is.Equal(string(d.forwardPlain(s, "b", false).Response.Body), "of b")
	is.Equal(s.connections.Load(), int64(2))
}

// A late answer to an earlier request stands in this one's place: it is read past,
// a few times, and never taken for this one's.
func TestForward_SkipsResponsesToOtherRequests(t *testing.T) {
	is := is.New(t)
	s, d := newFakeTarget(t), newPlainDaemon(0)
	s.respond = func(r *http.Request) string {
		return responseFor(r, "old", "of old") + responseFor(r, "older", "") + echoResponse(r)
	}
	b := d.forwardPlain(s, "a", false)
	is.Equal(b.Result, dispatch.Complete)
	is.Equal(string(b.Response.Body), "of a")
	s, d = newFakeTarget(t), newPlainDaemon(0)
	s.respond = func(r *http.Request) string {
		return strings.Repeat(responseFor(r, "old", ""), maxStaleResponses+1) + echoResponse(r)
	}
	is.Equal(d.forwardPlain(s, "a", false).Result, dispatch.MayHaveRun)
}

// A target that sends a head without end costs no more than a head may.
func TestForward_BoundsResponseHeader(t *testing.T) {
	is := is.New(t)
	s, d := newFakeTarget(t), newPlainDaemon(0)
	head := strings.Repeat("X-More: "+strings.Repeat("y", 1000)+"\r\n", 3*maxResponseHeader/1000)
	s.respond = func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: a\r\n" + head + "\r\n"
	}
	is.Equal(d.forwardPlain(s, "a", false).Result, dispatch.MayHaveRun)
	// One of a proper size is read, however much the connection has carried before.
	s, d = newFakeTarget(t), newPlainDaemon(0)
	s.respond = func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Large: " + strings.Repeat("y", maxResponseHeader/2) + "\r\nId: " + r.Header.Get("Id") + "\r\n\r\n"
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		is.Equal(d.forwardPlain(s, id, false).Result, dispatch.Complete)
	}
	is.Equal(s.connections.Load(), int64(1))
}
