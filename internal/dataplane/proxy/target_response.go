package proxy

import (
	"errors"
	"io"
	"math"
	"net/http"
	"regexp"
	"slices"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/idempotency"
)

const (
	// maxStaleResponses is the maximum number of responses to earlier requests that are
	// skipped on a connection.
	maxStaleResponses = 2
	// maxResponseHeader is the maximum size of a response's header, in bytes.
	maxResponseHeader = 1 << 20
)

// errMergedResponses is returned if a target wrote a part of a response, or other bytes that resemble
// one, right before a response. Where the latter begins, and what belongs to it, is unknown.
var errMergedResponses = errors.New("another answer's head stands in this one")

// statusLinePattern matches the beginning of an HTTP/1 response.
var statusLinePattern = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}`)

// containsStatusLine reports whether a response's reason phrase or one of its headers contains the
// beginning of a response. Bytes that end within a line of a head merge with the next response, whose
// status line then stands in their last line.
func containsStatusLine(response *http.Response) bool {
	if statusLinePattern.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLinePattern.MatchString) {
			return true
		}
	}
	return false
}

// readResponse reads a complete response and checks it with the target protocol. Clients see the
// text of the error in HTTP responses.
func (d *Daemon) readResponse(conn *connection, request *ClientRequest, f dispatch.Forward) (CheckedResponse, error) {
	peer := string(f.Target.Address)
	for range maxStaleResponses + 1 {
		conn.headerLimit.N = maxResponseHeader
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return CheckedResponse{}, errs.Wrap(err, "read response", peer)
		}
		if containsStatusLine(response) {
			return CheckedResponse{}, errs.Wrap(errMergedResponses, "check response", peer)
		}
		// readResponseBody limits the body.
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
			conn.staleResponses++
			d.staleResponses.Add(1)
			if statusLinePattern.Match(body) {
				return CheckedResponse{}, errs.Wrap(errMergedResponses, "check response", peer)
			}
			// The response to this request may follow.
			continue
		}
		d.meter.recordServerTiming(request.Job.Route, request.Job.Service, response.Header.Values("Server-Timing"))
		// Data after the response doesn't belong to any request.
		checked.KeepAlive = checked.KeepAlive && !response.Close && conn.reader.Buffered() == 0 && !needsOwnConnection(request.Method)
		return checked, nil
	}
	return CheckedResponse{}, errs.New("check response", peer, "answers to other requests stand in this one's place")
}

// readResponseBody reads a complete response body of at most DaemonOptions.MaxResponseBytes.
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

// NewResponse converts a target's response to the form that is passed on to the client and stored
// in idempotency records.
func NewResponse(response *http.Response, body []byte) idempotency.Response {
	converted := idempotency.Response{Status: uint16(response.StatusCode), Body: body}
	for name, values := range StripHopByHopHeaders(response.Header) {
		for _, value := range values {
			converted.Header = append(converted.Header, idempotency.Header{Name: name, Value: value})
		}
	}
	return converted
}
