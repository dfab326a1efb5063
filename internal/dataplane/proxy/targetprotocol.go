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

// TargetProtocol is how requests are put to targets, and their answers judged. Ours is
// the first one; a platform whose targets speak otherwise brings its own.
type TargetProtocol interface {
	// VerifiesIdentity tells whether a new connection first asks its target who it is.
	VerifiesIdentity() bool
	// RequestHeader gives the headers that go to the target, with what is left of
	// the request's time.
	RequestHeader(c *ClientRequest, f dispatch.Forward, left time.Duration) http.Header
	// CheckResponse says what an answer, read whole, amounts to. An error means that no
	// byte of it may go on, and that nobody knows whether the request has run.
	CheckResponse(res *http.Response, body []byte, c *ClientRequest, f dispatch.Forward) (CheckedResponse, error)
}

// CheckedResponse is what an answer amounts to.
type CheckedResponse struct {
	Result   dispatch.AttemptResult
	Response idempotency.Response
	Reason   string
	// Other: the answer belongs to another request; this one's may follow.
	ForOtherRequest bool
	// Again: the connection may be used again; Idle is how long it may be idle, 0
	// where the target didn't say.
	KeepAlive   bool
	IdleTimeout time.Duration
	// Told: the target said how full it is.
	LoadReported            bool
	Running, Waiting, Slots int64
}

// nativeTargetProtocol is our own dialect to targets.
type nativeTargetProtocol struct{ d *Daemon }

func (nativeTargetProtocol) VerifiesIdentity() bool { return true }

func (p nativeTargetProtocol) RequestHeader(c *ClientRequest, f dispatch.Forward, left time.Duration) http.Header {
	out := StripHopByHopHeaders(c.Header)
	out.Set("Request-Id", p.d.requestID(f.ID))
	out.Set("Time-Left", strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	out.Set("Attempt", strconv.FormatUint(uint64(c.Job.Attempt), 10))
	out.Add("X-Forwarded-For", c.ClientIP)
	return out
}

// CheckResponse checks an answer's seal: the digest of its body, the request's id and
// the client's mark.
func (p nativeTargetProtocol) CheckResponse(res *http.Response, body []byte, c *ClientRequest, f dispatch.Forward) (CheckedResponse, error) {
	sum := sha256.Sum256(body)
	digest := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	switch {
	// The answer to HEAD has no body that a digest could be of.
	case c.Method != http.MethodHead && !hasDigest(res.Header.Get("Content-Digest"), digest):
		return CheckedResponse{}, errs.New("check response", "", "answer's seal is missing or broken")
	case len(res.Header.Values("Request-Id")) > 1:
		return CheckedResponse{}, errs.New("check response", "", "answer names several requests")
	case res.Header.Get("Request-Id") != p.d.requestID(f.ID):
		return CheckedResponse{}, errs.New("check response", "", "answer is for request %q", res.Header.Get("Request-Id"))
	case !c.Job.Repeatable && res.Header.Get("Idempotency-Key") != string(c.Job.IdempotencyKey):
		return CheckedResponse{}, errs.New("check response", "", "answer is for mark %q", res.Header.Get("Idempotency-Key"))
	}
	a := NewResponse(res, body)
	a.Digest = digest
	return CheckedResponse{Result: dispatch.Complete, Response: a, KeepAlive: true}, nil
}

// hasDigest finds the sha-256 entry among the digests of RFC 9530.
func hasDigest(field, want string) bool {
	for _, e := range strings.Split(field, ",") {
		if strings.TrimSpace(e) == want {
			return true
		}
	}
	return false
}
