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

// ClientRequest is a consumer's request, read whole.
type ClientRequest struct {
	Job    dispatch.Job
	Method string
	// URI is the path and query just as they came, and Host the host asked for.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Held is the room that the body has, and the answer will.
	Held   *Held
	Remote string
	// ID is what the target is to echo.
	ID string
}

// hops are headers of one connection; they are not carried on.
var hops = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect"}

// Strip gives the headers that are carried on.
func Strip(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, n := range hops {
		out.Del(n)
	}
	return out
}

// requestID is the id that the target echoes.
func (d *Daemon) requestID(r ids.Request) string {
	return fmt.Sprintf("%s-%x-%d", d.Params.Name, uint64(d.self.Start), r)
}

// carry takes a request to its target, once, and judges what comes back.
func (d *Daemon) carry(c *ClientRequest, f dispatch.Ferry) dispatch.Back {
	back := dispatch.Back{ID: f.ID, Turn: f.Turn, How: dispatch.NotSent}
	until := time.Now().Add(f.Due.Since(process.Now()))
	var line *circuit
	if !f.Fresh {
		line = d.circuits.takeFor(f.Target, f.Careful)
	}
	if line == nil {
		var err error
		if line, err = d.circuits.open(context.Background(), f.Target, until); err != nil {
			back.Why = err.Error()
			return back
		}
	}
	// The last look before the first byte: time left, and no pause since.
	if !MayLeave(process.Now(), f.By, ids.Time(d.beat.Load())) {
		line.Close()
		back.Why = "no time left, or this proxy was paused"
		return back
	}
	_ = line.SetDeadline(until)
	head := d.trade.Outgoing(c, f, f.Due.Since(process.Now()))
	n, err := line.Write(pack(c, f, head))
	if err == nil && len(c.Body) > mostPacked {
		_, err = line.Write(c.Body)
	}
	if n > 0 {
		back.How = dispatch.Maybe
	}
	if err != nil {
		d.circuits.dead(line)
		line.Close()
		back.Why = "sending: " + err.Error()
		return back
	}
	v, err := d.sealed(line, c, f)
	if err != nil {
		if !line.heard {
			d.circuits.dead(line)
		}
		line.Close()
		back.Why = err.Error()
		return back
	}
	if v.Again {
		d.circuits.keep(f.Target.Instance, line, v.Idle)
	} else {
		line.Close()
	}
	back.How, back.Response, back.Why = v.How, v.Response, v.Why
	back.Told, back.Running, back.Waiting, back.Slots = v.Told, v.Running, v.Waiting, v.Slots
	return back
}

// mostPacked is the largest body that leaves with its head; larger ones aren't
// copied, and follow it.
const mostPacked = 16 << 10

// pack writes a request as it goes out. Method, path and body are the
// consumer's own, to the byte: nothing is cleaned or encoded anew.
func pack(c *ClientRequest, f dispatch.Ferry, head http.Header) []byte {
	var b bytes.Buffer
	b.Grow(1024 + min(len(c.Body), mostPacked))
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
	if len(c.Body) <= mostPacked {
		b.Write(c.Body)
	}
	return b.Bytes()
}

// mostOthers bounds the answers to other requests that are read past.
const mostOthers = 2

// mostHead bounds the head of an answer.
const mostHead = 1 << 20

// sealed reads an answer whole and lets the trade judge it. Only then may a
// byte of it go on.
func (d *Daemon) sealed(line *circuit, c *ClientRequest, f dispatch.Ferry) (Verdict, error) {
	peer := string(f.Target.Address)
	for range mostOthers + 1 {
		line.bound.N = mostHead
		res, err := http.ReadResponse(line.read, &http.Request{Method: c.Method})
		if err != nil {
			return Verdict{}, errs.Wrap(err, "read response", peer)
		}
		// The body has a limit of its own.
		line.bound.N = math.MaxInt64
		body, err := d.body(res, peer, c.Held)
		if err != nil {
			return Verdict{}, err
		}
		v, err := d.trade.Judge(res, body, c, f)
		if err != nil {
			return v, errs.Wrap(err, "check response", peer)
		}
		if v.Other {
			// A late answer to an earlier request stood in this one's place.
			continue
		}
		d.meter.target(c.Job.Route, c.Job.Service, res.Header.Values("Server-Timing"))
		// What was sent beyond the answer belongs to nobody.
		v.Again = v.Again && !res.Close && line.read.Buffered() == 0
		return v, nil
	}
	return Verdict{}, errs.New("check response", peer, "answers to other requests stand in this one's place")
}

// body reads an answer's body, whole and within the limit.
func (d *Daemon) body(res *http.Response, peer string, held *Held) ([]byte, error) {
	defer res.Body.Close()
	limit := d.Params.MaxResponse
	if res.StatusCode < 200 {
		return nil, errs.New("check response", peer, "answer of status %d", res.StatusCode)
	}
	body, err := io.ReadAll(counted{io.LimitReader(res.Body, int64(limit)+1), held})
	if err != nil {
		return nil, errs.Wrap(err, "read body", peer)
	}
	if len(body) > limit {
		return nil, errs.New("check response", peer, "answer over the limit of %d bytes", limit)
	}
	return body, nil
}

// Sealed makes the answer that a target's response is kept and handed on as.
func Sealed(res *http.Response, body []byte) idempotency.Response {
	a := idempotency.Response{Status: uint16(res.StatusCode), Body: body}
	for n, list := range Strip(res.Header) {
		for _, v := range list {
			a.Header = append(a.Header, idempotency.Header{Name: n, Value: v})
		}
	}
	return a
}
