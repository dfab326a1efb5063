package proxy

import (
	"crypto/sha256"
	"errors"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/transport/process"
)

// ClientRequest is a client's request, read whole.
type ClientRequest struct {
	Job    dispatch.Job
	Method string
	// URI is the path and query as they came, byte for byte.
	URI string
	// Host is the host that the client asked for; if empty, the target's address is
	// sent in its place.
	Host   string
	Header http.Header
	Body   []byte
	// Memory is reserved for the body, and later for the response. The handler releases
	// it when the response is written.
	Memory   *MemoryReservation
	ClientIP string
	// AttemptID is the id that the target has to echo, in protocols where the client
	// chooses it.
	AttemptID string
}

// requestError is why a client's request is not accepted: the status of the response, and
// the problem that it states.
type requestError struct {
	status  int
	problem string
}

func (e *requestError) Error() string { return e.problem }

func badRequest(problem string) error { return &requestError{http.StatusBadRequest, problem} }

// singleHeaders may stand once at most: of two values, another reader of the request
// could take the other one.
var singleHeaders = []string{"Idempotency-Key", "Attempt", "Time-Left"}

// idempotencyKeyPattern is what an idempotency key may look like.
var idempotencyKeyPattern = regexp.MustCompile(`^[\x21-\x7e]{1,256}$`)

// maxTimeLeftMillis bounds the Time-Left header, in milliseconds (11 days), so that
// adding it to the time can't overflow.
const maxTimeLeftMillis = 1e9

// readClientRequest reads a request whole and checks its headers. The error is a
// *requestError.
func (d *Daemon) readClientRequest(w http.ResponseWriter, r *http.Request, route configuration.Route, view *configuration.View) (*ClientRequest, error) {
	job, err := d.readJob(r, route, view)
	if err != nil {
		return nil, err
	}
	body, memory, err := d.ReadBody(w, r, int64(route.MaxBodyBytes), time.Time{})
	if err != nil {
		return nil, bodyError(err, route)
	}
	job.Fingerprint = requestFingerprint(r, body)
	// An address that can't be split has no IP to pass on.
	clientIP, _, _ := net.SplitHostPort(r.RemoteAddr)
	return &ClientRequest{
		Job: job, Method: r.Method, URI: r.URL.RequestURI(), Header: r.Header,
		Body: body, Memory: memory, ClientIP: clientIP,
	}, nil
}

// readJob returns the job of a request by its route and its headers, without the
// fingerprint, which needs the body. Its time runs from now on.
func (d *Daemon) readJob(r *http.Request, route configuration.Route, view *configuration.View) (dispatch.Job, error) {
	job := d.NewJob(route, view)
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return job, badRequest(name + " stands twice")
		}
	}
	arrivedAt := process.Now()
	timeLimit, err := requestTimeLimit(r, route)
	if err != nil {
		return job, err
	}
	job.Deadline = arrivedAt.Add(timeLimit)
	if job.Attempt, err = requestAttempt(r); err != nil {
		return job, err
	}
	job.IdempotencyKey = ids.IdempotencyKey(r.Header.Get("Idempotency-Key"))
	if requiresIdempotencyKey(route) && !idempotencyKeyPattern.MatchString(string(job.IdempotencyKey)) {
		return job, badRequest("this route takes no request without an Idempotency-Key of 1 to 256 printable characters")
	}
	return job, nil
}

// requiresIdempotencyKey tells whether requests of a route run twice would do harm, and
// so have to name themselves.
func requiresIdempotencyKey(route configuration.Route) bool {
	return !route.Repeatable && !route.WithoutIdempotencyKey
}

// requestTimeLimit is the route's time limit, or what the client says is left of its own
// (Time-Left, in milliseconds) if that is shorter.
func requestTimeLimit(r *http.Request, route configuration.Route) (time.Duration, error) {
	limit := route.Timeout()
	value := r.Header.Get("Time-Left")
	if value == "" {
		return limit, nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis < 0 || millis > maxTimeLeftMillis {
		return 0, badRequest("Time-Left must be a number of milliseconds")
	}
	return min(limit, time.Duration(millis)*time.Millisecond), nil
}

// requestAttempt reads which attempt of its request the client says this is, counted
// from 1; 0 if it doesn't say.
func requestAttempt(r *http.Request) (uint32, error) {
	value := r.Header.Get("Attempt")
	if value == "" {
		return 0, nil
	}
	attempt, err := strconv.ParseUint(value, 10, 32)
	if err != nil || attempt == 0 {
		return 0, badRequest("Attempt must be a number from 1")
	}
	return uint32(attempt), nil
}

// bodyError says why a body wasn't taken.
func bodyError(err error, route configuration.Route) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &requestError{http.StatusRequestEntityTooLarge, "body over the route's limit of " + strconv.Itoa(route.MaxBodyBytes) + " bytes"}
	case errors.Is(err, ErrMemoryBudgetExceeded):
		return &requestError{http.StatusServiceUnavailable, err.Error()}
	}
	return badRequest("the body ended early")
}

// requestFingerprint is a digest of method, URI and body, by which two uses of one
// idempotency key are compared. It is stored, so its form must not change: each part
// follows its length in decimal and a space.
func requestFingerprint(r *http.Request, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.URL.RequestURI()), body} {
		h.Write([]byte(strconv.Itoa(len(part)) + " "))
		h.Write(part)
	}
	return h.Sum(nil)
}
