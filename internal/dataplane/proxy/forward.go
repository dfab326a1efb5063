package proxy

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/transport/process"
)

// hopByHopHeaders lists the headers that aren't forwarded: those that apply to a single
// connection (RFC 9110, 7.6.1) and those that the proxy writes itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// StripHopByHopHeaders returns a copy of the headers without the hop-by-hop ones, including
// those listed in the Connection header.
func StripHopByHopHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// targetRequestID returns the request ID that a target must echo in the native protocol. It is
// unique over all proxies and their runs, unlike ids.RequestID, and the same for all attempts
// of a request.
func (d *Daemon) targetRequestID(id ids.RequestID) string {
	return fmt.Sprintf("%s-%x-%d", d.Options.Name, uint64(d.self.RunID), id)
}

// forward sends a request to its target once and checks the response. The result is NotSent
// only if no byte of the request can have reached the target.
func (d *Daemon) forward(attempts attemptContexts, request *ClientRequest, f dispatch.Forward) dispatch.AttemptFinished {
	finished := dispatch.AttemptFinished{ID: f.ID, Sequence: f.Sequence, Result: dispatch.NotSent}
	deadline := time.Now().Add(f.Deadline.Sub(process.Now()))
	conn, err := d.connect(attempts.unsent, request, f, deadline)
	if err != nil {
		finished.Reason = err.Error()
		return finished
	}
	// Opening the connection may have taken time, so check again just before the first byte.
	if attempts.unsent.Err() != nil {
		conn.discard()
		finished.Reason = "the client has gone"
		return finished
	}
	if !MaySend(process.Now(), f.SendBefore, ids.Time(d.lastStep.Load())) {
		conn.discard()
		finished.Reason = "no time left, or this proxy was paused"
		return finished
	}
	// This fails only on a closed connection, where the following write fails as well.
	_ = conn.SetDeadline(deadline)
	conn.closeOnDone(attempts.running)
	conn.requestCount++
	conn.staleResponses = 0
	request.sentOn = append(request.sentOn, conn)
	d.roundTrip(conn, request, f, &finished)
	return finished
}

// roundTrip sends a request, reads the response and stores the outcome in finished. It returns
// the connection to the pool or closes it.
func (d *Daemon) roundTrip(conn *connection, request *ClientRequest, f dispatch.Forward, finished *dispatch.AttemptFinished) {
	response, err := d.exchange(conn, request, f, finished)
	// Another request may use the connection as soon as it is in the pool.
	d.logAttempt(conn, request, f, *finished)
	switch {
	case err != nil:
		d.discardFailed(conn)
	case conn.release() && response.KeepAlive:
		d.pool.put(f.Target.Instance, conn, response.IdleTimeout)
	default:
		conn.discard()
	}
}

// exchange sends a request, reads the response and stores the outcome in finished.
func (d *Daemon) exchange(conn *connection, request *ClientRequest, f dispatch.Forward, finished *dispatch.AttemptFinished) (CheckedResponse, error) {
	header := d.targetProtocol.RequestHeader(request, f, f.Deadline.Sub(process.Now()))
	written, err := conn.send(request, f, header)
	if written > 0 {
		finished.Result = dispatch.MayHaveRun
	}
	if err != nil {
		finished.Reason = "sending: " + err.Error()
		return CheckedResponse{}, err
	}
	response, err := d.readResponse(conn, request, f)
	if err != nil {
		finished.Reason = err.Error()
		return CheckedResponse{}, err
	}
	finished.Result, finished.Response, finished.Reason = response.Result, response.Response, response.Reason
	finished.LoadReported, finished.Running = response.LoadReported, response.Running
	finished.Waiting, finished.Slots = response.Waiting, response.Slots
	return response, nil
}

// discardFailed closes a connection on which a request failed. If nothing was received on it
// and this side hadn't closed it, it was dead before use, which lowers the idle limit.
func (d *Daemon) discardFailed(conn *connection) {
	if conn.release() && !conn.responsive {
		d.pool.lowerRecentIdleLimit(conn)
	}
	conn.discard()
}

// connect returns an idle connection from the pool, or opens a new one if there is none or the
// dispatcher or the request's method requires it. It never returns a connection that has carried
// the request before: all attempts of a request have the same ID, so a late second copy of the
// response to an earlier one would be taken for the response to this one.
func (d *Daemon) connect(ctx context.Context, request *ClientRequest, f dispatch.Forward, deadline time.Time) (*connection, error) {
	if !f.NewConnection && !needsOwnConnection(request.Method) {
		if conn := d.pool.take(f.Target, f.RecentlyUsedOnly, request.sentOn); conn != nil {
			return conn, nil
		}
	}
	return d.pool.dial(ctx, f.Target, deadline)
}

// needsOwnConnection reports whether requests of a method must not share a connection with others.
// Whether a response has a body depends on the method of its request. If one arrived late, where
// the response to a request of another method is due, its end couldn't be found.
func needsOwnConnection(method string) bool { return method == http.MethodHead }

// maxCopiedBody is the largest body, in bytes, that is copied and sent in one write with its
// header; larger ones are sent in a second write.
const maxCopiedBody = 16 << 10

// send writes a request. It returns the number of bytes written of the header, and of the
// body if that is at most maxCopiedBody.
func (c *connection) send(request *ClientRequest, f dispatch.Forward, header http.Header) (int, error) {
	written, err := c.Write(encodeRequest(request, f, header))
	if err == nil && len(request.Body) > maxCopiedBody {
		_, err = c.Write(request.Body)
	}
	return written, err
}

// typicalHeaderSize is the buffer space, in bytes, preallocated for a request's header.
const typicalHeaderSize = 1 << 10

// encodeRequest encodes a request's header, and its body unless that is larger than
// maxCopiedBody. Method, URI and body are forwarded unchanged.
func encodeRequest(request *ClientRequest, f dispatch.Forward, header http.Header) []byte {
	var b bytes.Buffer
	b.Grow(typicalHeaderSize + min(len(request.Body), maxCopiedBody))
	host := request.Host
	if host == "" {
		host = string(f.Target.Address)
	}
	b.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + host + "\r\n")
	for name, values := range header {
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(request.Body) > 0 || methodExpectsBody(request.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(request.Body) <= maxCopiedBody {
		b.Write(request.Body)
	}
	return b.Bytes()
}

// methodExpectsBody reports whether a request of this method must send Content-Length even if
// its body is empty (RFC 9110, 8.6).
func methodExpectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
