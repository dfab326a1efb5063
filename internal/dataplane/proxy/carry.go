package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/transport/process"
)

// ClientRequest is a client's request, read whole.
type ClientRequest struct {
	Job    dispatch.Job
	Method string
	// URI is the path and query just as they came, and Host the host asked for.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Memory is the room that the body has, and the answer will.
	Memory   *MemoryReservation
	ClientIP string
	// AttemptID is what the target is to echo.
	AttemptID string
}

// hopByHopHeaders are headers of one connection; they are not carried on.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect"}

// StripHopByHopHeaders gives the headers that are carried on.
func StripHopByHopHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, n := range hopByHopHeaders {
		out.Del(n)
	}
	return out
}

// requestID is the id that the target echoes.
func (d *Daemon) requestID(r ids.RequestID) string {
	return fmt.Sprintf("%s-%x-%d", d.Options.Name, uint64(d.self.RunID), r)
}

// forward takes a request to its target, once, and judges what comes back.
func (d *Daemon) forward(c *ClientRequest, f dispatch.Forward) dispatch.AttemptFinished {
	back := dispatch.AttemptFinished{ID: f.ID, Sequence: f.Sequence, Result: dispatch.NotSent}
	until := time.Now().Add(f.Deadline.Sub(process.Now()))
	var line *connection
	if !f.NewConnection {
		line = d.pool.take(f.Target, f.RecentOnly)
	}
	if line == nil {
		var err error
		if line, err = d.pool.dial(context.Background(), f.Target, until); err != nil {
			back.Reason = err.Error()
			return back
		}
	}
	// The last look before the first byte: time left, and no pause since.
	if !MaySend(process.Now(), f.SendBefore, ids.Time(d.lastStep.Load())) {
		line.Close()
		back.Reason = "no time left, or this proxy was paused"
		return back
	}
	_ = line.SetDeadline(until)
	head := d.targetProtocol.RequestHeader(c, f, f.Deadline.Sub(process.Now()))
	n, err := line.Write(encodeRequest(c, f, head))
	if err == nil && len(c.Body) > maxCopiedBody {
		_, err = line.Write(c.Body)
	}
	if n > 0 {
		back.Result = dispatch.MayHaveRun
	}
	if err != nil {
		d.pool.recordStale(line)
		line.Close()
		back.Reason = "sending: " + err.Error()
		return back
	}
	v, err := d.readResponse(line, c, f)
	if err != nil {
		if !line.responsive {
			d.pool.recordStale(line)
		}
		line.Close()
		back.Reason = err.Error()
		return back
	}
	if v.KeepAlive {
		d.pool.put(f.Target.Instance, line, v.IdleTimeout)
	} else {
		line.Close()
	}
	back.Result, back.Response, back.Reason = v.Result, v.Response, v.Reason
	back.LoadReported, back.Running, back.Waiting, back.Slots = v.LoadReported, v.Running, v.Waiting, v.Slots
	return back
}

// maxCopiedBody is the largest body that leaves with its head; larger ones aren't
// copied, and follow it.
const maxCopiedBody = 16 << 10

// encodeRequest writes a request as it goes out. Method, path and body are the
// client's own, to the byte: nothing is cleaned or encoded anew.
func encodeRequest(c *ClientRequest, f dispatch.Forward, head http.Header) []byte {
	var b bytes.Buffer
	b.Grow(1024 + min(len(c.Body), maxCopiedBody))
	host := c.Host
	if host == "" {
		host = string(f.Target.Address)
	}
	b.WriteString(c.Method + " " + c.URI + " HTTP/1.1\r\nHost: " + host + "\r\n")
	for n, list := range head {
		for _, v := range list {
			b.WriteString(n + ": " + v + "\r\n")
		}
	}
	if len(c.Body) > 0 || c.Method == http.MethodPost || c.Method == http.MethodPut || c.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(c.Body) <= maxCopiedBody {
		b.Write(c.Body)
	}
	return b.Bytes()
}

// maxStaleResponses bounds the answers to other requests that are read past.
const maxStaleResponses = 2

// maxResponseHeader bounds the head of an answer.
const maxResponseHeader = 1 << 20

// readResponse reads an answer whole and lets the trade judge it. Only then may a
// byte of it go on.
func (d *Daemon) readResponse(line *connection, c *ClientRequest, f dispatch.Forward) (CheckedResponse, error) {
	peer := string(f.Target.Address)
	for range maxStaleResponses + 1 {
		line.headerLimit.N = maxResponseHeader
		res, err := http.ReadResponse(line.reader, &http.Request{Method: c.Method})
		if err != nil {
			return CheckedResponse{}, errs.Wrap(err, "read response", peer)
		}
		// The body has a limit of its own.
		line.headerLimit.N = math.MaxInt64
		body, err := d.readResponseBody(res, peer, c.Memory)
		if err != nil {
			return CheckedResponse{}, err
		}
		v, err := d.targetProtocol.CheckResponse(res, body, c, f)
		if err != nil {
			return v, errs.Wrap(err, "check response", peer)
		}
		if v.ForOtherRequest {
			// A late answer to an earlier request stood in this one's place.
			continue
		}
		d.meter.recordServerTiming(c.Job.Route, c.Job.Service, res.Header.Values("Server-Timing"))
		// What was sent beyond the answer belongs to nobody.
		v.KeepAlive = v.KeepAlive && !res.Close && line.reader.Buffered() == 0
		return v, nil
	}
	return CheckedResponse{}, errs.New("check response", peer, "answers to other requests stand in this one's place")
}

// readResponseBody reads an answer's body, whole and within the limit.
func (d *Daemon) readResponseBody(res *http.Response, peer string, held *MemoryReservation) ([]byte, error) {
	defer res.Body.Close()
	limit := d.Options.MaxResponseBytes
	if res.StatusCode < 200 {
		return nil, errs.New("check response", peer, "answer of status %d", res.StatusCode)
	}
	body, err := io.ReadAll(countingReader{io.LimitReader(res.Body, int64(limit)+1), held})
	if err != nil {
		return nil, errs.Wrap(err, "read body", peer)
	}
	if len(body) > limit {
		return nil, errs.New("check response", peer, "answer over the limit of %d bytes", limit)
	}
	return body, nil
}

// NewResponse makes the answer that a target's response is kept and handed on as.
func NewResponse(res *http.Response, body []byte) idempotency.Response {
	a := idempotency.Response{Status: uint16(res.StatusCode), Body: body}
	for n, list := range StripHopByHopHeaders(res.Header) {
		for _, v := range list {
			a.Header = append(a.Header, idempotency.Header{Name: n, Value: v})
		}
	}
	return a
}
