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
	// Greets tells whether a new connection first asks its target who it is.
	Greets() bool
	// Outgoing gives the headers that go to the target, with what is left of
	// the request's time.
	Outgoing(c *ClientRequest, f dispatch.Ferry, left time.Duration) http.Header
	// Judge says what an answer, read whole, amounts to. An error means that no
	// byte of it may go on, and that nobody knows whether the request has run.
	Judge(res *http.Response, body []byte, c *ClientRequest, f dispatch.Ferry) (Verdict, error)
}

// Verdict is what an answer amounts to.
type Verdict struct {
	How      dispatch.How
	Response idempotency.Response
	Why      string
	// Other: the answer belongs to another request; this one's may follow.
	Other bool
	// Again: the connection may be used again; Idle is how long it may be idle, 0
	// where the target didn't say.
	Again bool
	Idle  time.Duration
	// Told: the target said how full it is.
	Told                    bool
	Running, Waiting, Slots int64
}

// house is our own dialect to targets.
type house struct{ d *Daemon }

func (house) Greets() bool { return true }

func (h house) Outgoing(c *ClientRequest, f dispatch.Ferry, left time.Duration) http.Header {
	out := Strip(c.Header)
	out.Set("Request-Id", h.d.requestID(f.ID))
	out.Set("Time-Left", strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	out.Set("Attempt", strconv.FormatUint(uint64(c.Job.Attempt), 10))
	out.Add("X-Forwarded-For", c.Remote)
	return out
}

// Judge checks an answer's seal: the digest of its body, the request's id and
// the consumer's mark.
func (h house) Judge(res *http.Response, body []byte, c *ClientRequest, f dispatch.Ferry) (Verdict, error) {
	sum := sha256.Sum256(body)
	digest := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	switch {
	// The answer to HEAD has no body that a digest could be of.
	case c.Method != http.MethodHead && !hasDigest(res.Header.Get("Content-Digest"), digest):
		return Verdict{}, errs.New("check response", "", "answer's seal is missing or broken")
	case len(res.Header.Values("Request-Id")) > 1:
		return Verdict{}, errs.New("check response", "", "answer names several requests")
	case res.Header.Get("Request-Id") != h.d.requestID(f.ID):
		return Verdict{}, errs.New("check response", "", "answer is for request %q", res.Header.Get("Request-Id"))
	case !c.Job.Repeatable && res.Header.Get("Idempotency-Key") != string(c.Job.Mark):
		return Verdict{}, errs.New("check response", "", "answer is for mark %q", res.Header.Get("Idempotency-Key"))
	}
	a := Sealed(res, body)
	a.Digest = digest
	return Verdict{How: dispatch.Sealed, Response: a, Again: true}, nil
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
