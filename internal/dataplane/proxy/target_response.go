package proxy

import (
	"io"
	"math"
	"net/http"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/idempotency"
)

const (
	// maxStaleResponses is how many responses to earlier requests are skipped on a
	// connection before it is given up.
	maxStaleResponses = 2
	// maxResponseHeader bounds a response's header, in bytes.
	maxResponseHeader = 1 << 20
)

// readResponse reads a response whole and lets the target protocol check it. Nothing of
// it may be passed on before that.
func (d *Daemon) readResponse(conn *connection, request *ClientRequest, f dispatch.Forward) (CheckedResponse, error) {
	peer := string(f.Target.Address)
	for range maxStaleResponses + 1 {
		conn.headerLimit.N = maxResponseHeader
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return CheckedResponse{}, errs.Wrap(err, "read response", peer)
		}
		// The body has a limit of its own.
		conn.headerLimit.N = math.MaxInt64
		body, err := d.readResponseBody(response, peer, request.Memory)
		if err != nil {
			return CheckedResponse{}, err
		}
		checked, err := d.targetProtocol.CheckResponse(response, body, request, f)
		if err != nil {
			return checked, errs.Wrap(err, "check response", peer)
		}
		if checked.ForOtherRequest {
			// A late response to an earlier request; this one's may follow.
			continue
		}
		d.meter.recordServerTiming(request.Job.Route, request.Job.Service, response.Header.Values("Server-Timing"))
		// Bytes after the response belong to no request.
		checked.KeepAlive = checked.KeepAlive && !response.Close && conn.reader.Buffered() == 0
		return checked, nil
	}
	return CheckedResponse{}, errs.New("check response", peer, "answers to other requests stand in this one's place")
}

// readResponseBody reads a response's body, whole and within DaemonOptions.MaxResponseBytes.
func (d *Daemon) readResponseBody(response *http.Response, peer string, memory *MemoryReservation) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	limit := d.Options.MaxResponseBytes
	if response.StatusCode < http.StatusOK {
		return nil, errs.New("check response", peer, "answer of status %d", response.StatusCode)
	}
	body, err := io.ReadAll(countingReader{io.LimitReader(response.Body, int64(limit)+1), memory})
	if err != nil {
		return nil, errs.Wrap(err, "read body", peer)
	}
	if len(body) > limit {
		return nil, errs.New("check response", peer, "answer over the limit of %d bytes", limit)
	}
	return body, nil
}

// NewResponse converts a target's response to the form in which it is stored in an
// idempotency record and passed on.
func NewResponse(response *http.Response, body []byte) idempotency.Response {
	converted := idempotency.Response{Status: uint16(response.StatusCode), Body: body}
	for name, values := range StripHopByHopHeaders(response.Header) {
		for _, value := range values {
			converted.Header = append(converted.Header, idempotency.Header{Name: name, Value: value})
		}
	}
	return converted
}
