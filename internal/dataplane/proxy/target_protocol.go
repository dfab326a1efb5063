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

// TargetProtocol is how requests are sent to targets and their responses checked.
type TargetProtocol interface {
	// VerifiesIdentity tells whether a new connection first asks its target for its
	// identity document.
	VerifiesIdentity() bool
	// RequestHeader returns the headers that are sent to the target. left is what is
	// left of the request's time.
	RequestHeader(request *ClientRequest, f dispatch.Forward, left time.Duration) http.Header
	// CheckResponse says what a response, read whole, means. After an error no byte of
	// it may be passed on, and the request may have run.
	CheckResponse(response *http.Response, body []byte, request *ClientRequest, f dispatch.Forward) (CheckedResponse, error)
}

// CheckedResponse is what a target's response means.
type CheckedResponse struct {
	Result dispatch.AttemptResult
	// Response is what the client gets, if Result is Complete or TargetFailed.
	Response idempotency.Response
	// Reason says why Result isn't Complete.
	Reason string
	// ForOtherRequest: the response belongs to an earlier request, and this one's may
	// follow. Nothing else but KeepAlive counts then.
	ForOtherRequest bool
	// KeepAlive: the connection may be used again.
	KeepAlive bool
	// IdleTimeout is how long the connection may be idle; 0 if the target doesn't say.
	IdleTimeout time.Duration
	// LoadReported: the target says how many requests are running and waiting there,
	// and how many can run at once.
	LoadReported            bool
	Running, Waiting, Slots int64
}

// nativeTargetProtocol is this project's own protocol with targets. A target proves that
// a response is complete and its own by the digest of the body (RFC 9530) and by echoing
// the ids of the request.
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

// CheckResponse checks the digest of the body, the request's id, and its idempotency key.
func (p nativeTargetProtocol) CheckResponse(response *http.Response, body []byte, request *ClientRequest, f dispatch.Forward) (CheckedResponse, error) {
	const step = "check response"
	header := response.Header
	sum := sha256.Sum256(body)
	digest := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	// The response to HEAD has no body that a digest could be of.
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

// hasDigest tells whether a Content-Digest header holds the given entry among others.
func hasDigest(header, digest string) bool {
	for _, entry := range strings.Split(header, ",") {
		if strings.TrimSpace(entry) == digest {
			return true
		}
	}
	return false
}
