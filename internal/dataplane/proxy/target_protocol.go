package proxy

import (
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/idempotency"
)

// TargetProtocol defines how requests are sent to targets and how their responses are checked.
type TargetProtocol interface {
	// VerifiesIdentity reports whether the target's identity document is fetched first on a
	// new connection.
	VerifiesIdentity() bool
	// RequestHeader returns the headers to send to the target. left is the time until the
	// request's deadline.
	RequestHeader(request *ClientRequest, f dispatch.Forward, left time.Duration) http.Header
	// CheckResponse checks a response that was read completely. After an error, no part of
	// the response may be passed on, and the request may have run.
	CheckResponse(response *http.Response, body []byte, request *ClientRequest, f dispatch.Forward) (CheckedResponse, error)
}

// CheckedResponse is the result of checking a target's response.
type CheckedResponse struct {
	Result dispatch.AttemptResult
	// Response is the response to the client if Result is Complete or TargetFailed.
	Response idempotency.Response
	// Reason is the reason why Result isn't Complete. Clients may see it.
	Reason string
	// ForOtherRequest is set if the response belongs to an earlier request, and that of this
	// request may follow. The other fields are then ignored.
	ForOtherRequest bool
	// KeepAlive is set if the connection may be reused.
	KeepAlive bool
	// IdleTimeout is the target's idle timeout of the connection; 0 if unknown.
	IdleTimeout time.Duration
	// LoadReported is set if the target reported its load: the number of its running and
	// waiting requests, and of its concurrency slots.
	LoadReported            bool
	Running, Waiting, Slots int64
}

// nativeTargetProtocol implements dunlinwell's own protocol with targets. A response must contain
// the digest of its body (RFC 9530) and echo the request's ID and idempotency key, which proves
// that it is complete and belongs to the request.
type nativeTargetProtocol struct{ d *Daemon }

func (nativeTargetProtocol) VerifiesIdentity() bool { return true }

func (p nativeTargetProtocol) RequestHeader(request *ClientRequest, f dispatch.Forward, left time.Duration) http.Header {
	header := StripHopByHopHeaders(request.Header)
	header.Set("Request-Id", p.d.targetRequestID(f.ID))
	header.Set("Time-Left", strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	header.Set("Attempt", strconv.FormatUint(uint64(request.Job.Attempt), 10))
	header.Add("X-Forwarded-For", request.ClientIP)
	return header
}

// CheckResponse checks the digest of the body, the request ID and the idempotency key. Clients see
// the text of the error in HTTP responses.
func (p nativeTargetProtocol) CheckResponse(response *http.Response, body []byte, request *ClientRequest, f dispatch.Forward) (CheckedResponse, error) {
	const step = "check response"
	header := response.Header
	sum := sha256.Sum256(body)
	digest := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	// The response to HEAD has no body.
	needsDigest := request.Method != http.MethodHead
	switch {
	case needsDigest && !hasDigest(header.Get("Content-Digest"), digest):
		return CheckedResponse{}, errs.New(step, "", "answer's seal is missing or broken")
	case len(header.Values("Request-Id")) > 1:
		return CheckedResponse{}, errs.New(step, "", "answer names several requests")
	case header.Get("Request-Id") != p.d.targetRequestID(f.ID):
		return CheckedResponse{}, errs.New(step, "", "answer is for request %q", header.Get("Request-Id"))
	case !request.Job.Repeatable && header.Get("Idempotency-Key") != string(request.Job.IdempotencyKey):
		return CheckedResponse{}, errs.New(step, "", "answer is for mark %q", header.Get("Idempotency-Key"))
	}
	stored := NewResponse(response, body)
	stored.Digest = digest
	return CheckedResponse{Result: dispatch.Complete, Response: stored, KeepAlive: true}, nil
}

// hasDigest reports whether a Content-Digest header contains the given entry.
func hasDigest(header, digest string) bool {
	for _, entry := range strings.Split(header, ",") {
		if strings.TrimSpace(entry) == digest {
			return true
		}
	}
	return false
}
