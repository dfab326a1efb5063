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

// ClientRequest is a client's request, including its complete body.
type ClientRequest struct {
	Job    dispatch.Job
	Method string
	// URI is the path and query exactly as received.
	URI string
	// Host is the value of the Host header sent to the target; the target's address if
	// empty.
	Host   string
	Header http.Header
	Body   []byte
	// Memory is the reservation for the body, and later for the response. The handler
	// releases it after writing the response.
	Memory   *MemoryReservation
	ClientIP string
	// AttemptID is the ID that the target must echo, in protocols where the client chooses
	// it.
	AttemptID string
	// sentOn lists the connections that have carried the request. Only its current attempt
	// uses the list.
	sentOn []*connection
}

// requestError is the reason for rejecting a client's request: the status and the problem
// text of the response.
type requestError struct {
	status  int
	problem string
}

func (e *requestError) Error() string { return e.problem }

func badRequest(problem string) error { return &requestError{http.StatusBadRequest, problem} }

// singletonHeaders lists the headers that may occur only once: given two values, another
// recipient could interpret the request by a different one.
var singletonHeaders = []string{"Idempotency-Key", "Attempt", "Time-Left"}

// idempotencyKeyPattern matches valid idempotency keys.
var idempotencyKeyPattern = regexp.MustCompile(`^[\x21-\x7e]{1,256}$`)

// maxTimeLeftMillis is the upper bound of the Time-Left header, in milliseconds (11 days), so
// that computing the deadline can't overflow.
const maxTimeLeftMillis = 1e9

// readClientRequest validates a request's headers and reads its body. Its error is a
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
	// The client IP stays empty if the address can't be parsed.
	clientIP, _, _ := net.SplitHostPort(r.RemoteAddr)
	return &ClientRequest{
		Job: job, Method: r.Method, URI: r.URL.RequestURI(), Header: r.Header,
		Body: body, Memory: memory, ClientIP: clientIP,
	}, nil
}

// readJob builds the job of a request from its route and headers, without the fingerprint,
// which needs the body. The time limit starts with the call.
func (d *Daemon) readJob(r *http.Request, route configuration.Route, view *configuration.View) (dispatch.Job, error) {
	job := d.NewJob(route, view)
	for _, name := range singletonHeaders {
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

// requiresIdempotencyKey reports whether requests of a route must carry an idempotency key,
// since they must not be executed twice.
func requiresIdempotencyKey(route configuration.Route) bool {
	return !route.Repeatable && !route.WithoutIdempotencyKey
}

// requestTimeLimit returns the route's timeout, or the client's remaining time (the Time-Left
// header, in milliseconds) if that is shorter.
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

// requestAttempt returns the client's attempt number from the Attempt header, counted from 1,
// or 0 if the header is missing.
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

// bodyError converts an error of reading the body to a requestError.
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

// requestFingerprint returns a digest of method, URI and body, which detects the reuse of an
// idempotency key for a different request. Fingerprints are stored, so the encoding must not
// change: each part is preceded by its length in decimal and a space.
func requestFingerprint(r *http.Request, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.URL.RequestURI()), body} {
		h.Write([]byte(strconv.Itoa(len(part)) + " "))
		h.Write(part)
	}
	return h.Sum(nil)
}
