package proxy

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/idempotency"
)

// Values of the Dunlinwell-Class header and of "class" in a problem document.
const (
	classRejected    = "declined"
	classUnknown     = "unknown"
	classAnswered    = "answered"
	classClientError = "misused"
)

// classNames are the values by dispatch.ResponseClass.
var classNames = [...]string{
	dispatch.Rejected:    classRejected,
	dispatch.Unknown:     classUnknown,
	dispatch.Answered:    classAnswered,
	dispatch.ClientError: classClientError,
}

// earlyRetryAfter is when, in seconds, a client may come back whose request was rejected
// before a dispatcher had it: about how long a proxy takes to start, or the directory to
// name another one.
const earlyRetryAfter = 1

// problemDocument is the body of every response that is not a target's.
type problemDocument struct {
	Class   string `json:"class"`
	Problem string `json:"problem"`
}

// writeProblem writes a response of the proxy's own. retryAfter is in seconds; 0 for none.
func writeProblem(w http.ResponseWriter, status int, class, problem string, retryAfter int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Dunlinwell-Class", class)
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(status)
	// A client that can't be written to has gone.
	_ = json.NewEncoder(w).Encode(problemDocument{class, problem})
}

// writeClientError tells the client of a mistake of its own.
func writeClientError(w http.ResponseWriter, status int, problem string) {
	writeProblem(w, status, classClientError, problem, 0)
}

// handleClientRequest takes one client's request from its first byte to its response.
func (d *Daemon) handleClientRequest(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	if d.servingState.Load().ZoneDrained || d.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	route, view, found := d.FindRoute(r.Host, r.URL.Path)
	if !found {
		d.handleMissingRoute(w, r)
		return
	}
	request, err := d.readClientRequest(w, r, route, view)
	if err != nil {
		d.writeRequestError(w, r, err)
		return
	}
	defer request.Memory.Release()
	if requiresIdempotencyKey(route) {
		w.Header().Set("Mark-Kept", strconv.Itoa(int(idempotency.Retention/time.Second)))
	}
	if d.stopping.Load() {
		d.rejectEarly(w, r, "this proxy is stopping")
		return
	}
	readTime := time.Since(begun)
	client, release := ClientContext(r, HalfCloseWaits)
	defer release()
	response, forwardTime := d.Dispatch(client, request)
	dispatched := time.Now()
	writeResponse(w, r, response)
	d.meter.recordRequest(route.Name, route.Service, readTime+time.Since(dispatched), time.Since(begun)-forwardTime)
}

// handleMissingRoute answers a request that matches no route. A proxy without a valid
// lease can't tell whether the route exists.
func (d *Daemon) handleMissingRoute(w http.ResponseWriter, r *http.Request) {
	if !d.LeaseValid() {
		d.rejectEarly(w, r, "this proxy is not in step")
		return
	}
	writeClientError(w, http.StatusNotFound, "no route has a prefix of this path")
}

// writeRequestError answers a request that could not be read.
func (d *Daemon) writeRequestError(w http.ResponseWriter, r *http.Request, err error) {
	var refused *requestError
	if !errors.As(err, &refused) {
		refused = &requestError{http.StatusBadRequest, err.Error()}
	}
	if refused.status == http.StatusServiceUnavailable {
		d.rejectEarly(w, r, refused.problem)
		return
	}
	writeClientError(w, refused.status, refused.problem)
}

// rejectEarly rejects a request before any dispatcher has it. An earlier attempt of the
// same request may have run, and only a dispatcher could find out: if the client doesn't
// say that this is the first, the outcome is unknown and not "declined".
func (d *Daemon) rejectEarly(w http.ResponseWriter, r *http.Request, problem string) {
	if r.Header.Get("Attempt") != "1" && r.Header.Get("Idempotency-Key") != "" {
		writeProblem(w, http.StatusGatewayTimeout, classUnknown, problem+"; whether an earlier attempt ran isn't known", 0)
		return
	}
	writeProblem(w, http.StatusServiceUnavailable, classRejected, problem, earlyRetryAfter)
}

// writeResponse writes the dispatcher's response to the client.
func writeResponse(w http.ResponseWriter, r *http.Request, response dispatch.Response) {
	if response.Class != dispatch.Answered || response.TargetResponse.BodyOmitted {
		writeProblem(w, response.Status, classNames[response.Class], response.Reason, wholeSeconds(response.RetryAfter))
		return
	}
	for _, h := range response.TargetResponse.Header {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set("Dunlinwell-Class", classAnswered)
	w.Header().Set("Content-Length", strconv.Itoa(len(response.TargetResponse.Body)))
	w.WriteHeader(response.Status)
	if r.Method != http.MethodHead {
		// A client that can't be written to has gone.
		_, _ = w.Write(response.TargetResponse.Body)
	}
}

// wholeSeconds rounds a duration up to seconds.
func wholeSeconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }
