package proxy

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/transport/process"
)

// router finds a request's route by the longest prefix of whole path parts.
type router struct {
	// hosts holds a tree for each host; "" is for routes of any host.
	hosts map[string]*iradix.Tree[configuration.Route]
	view  *configuration.View
}

func newRouter(v *configuration.View) *router {
	hosts := map[string]*iradix.Tree[configuration.Route]{}
	// In order of name, so that of two routes with one place the first holds.
	for _, n := range slices.Sorted(maps.Keys(v.Routes)) {
		r := v.Routes[n]
		host := strings.ToLower(r.Host)
		t := hosts[host]
		if t == nil {
			t = iradix.New[configuration.Route]()
		}
		key := []byte(strings.TrimRight(r.Prefix, "/"))
		if _, taken := t.Get(key); !taken {
			t, _, _ = t.Insert(key, r)
		}
		hosts[host] = t
	}
	return &router{hosts, v}
}

// find gives the route of a host and path: that of the host itself, or of any.
func (r *router) find(host, path string) (configuration.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	host = strings.ToLower(host)
	if t := r.hosts[host]; t != nil && host != "" {
		if best, ok := longestPrefix(t, path); ok {
			return best, true
		}
	}
	if t := r.hosts[""]; t != nil {
		return longestPrefix(t, path)
	}
	return configuration.Route{}, false
}

func longestPrefix(t *iradix.Tree[configuration.Route], path string) (configuration.Route, bool) {
	var best configuration.Route
	found := false
	t.Root().WalkPath([]byte(path), func(k []byte, v configuration.Route) bool {
		// /stock is no prefix of /stocking.
		if len(k) == len(path) || path[len(k)] == '/' {
			best, found = v, true
		}
		return false
	})
	return best, found
}

var idempotencyKeyPattern = regexp.MustCompile(`^[\x21-\x7e]{1,256}$`)

// writeMisuse answers the client's own mistakes.
func writeMisuse(w http.ResponseWriter, status int, why string) {
	writeProblem(w, status, "misused", why, 0)
}

func writeProblem(w http.ResponseWriter, status int, class, why string, retry int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Dunlinwell-Class", class)
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retry))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"class": class, "problem": why})
}

// handleClientRequest takes one client's request from its first byte to its answer.
func (d *Daemon) handleClientRequest(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	if d.zoneDrained.Load() || d.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	ro := d.router.Load()
	route, ok := ro.find(r.Host, r.URL.Path)
	if !ok && !d.servingState.Load().LeaseValid {
		// The route may well exist: this proxy doesn't know yet.
		d.rejectEarly(w, r, "this proxy is not in step")
		return
	}
	if !ok {
		writeMisuse(w, http.StatusNotFound, "no route has a prefix of this path")
		return
	}
	c, status, why := d.readClientRequest(r, w, route, ro.view)
	if status == http.StatusServiceUnavailable {
		d.rejectEarly(w, r, why)
		return
	}
	if status != 0 {
		writeMisuse(w, status, why)
		return
	}
	defer c.Memory.Release()
	if !route.Repeatable && !route.WithoutIdempotencyKey {
		w.Header().Set("Mark-Kept", strconv.Itoa(int(idempotency.Retention/time.Second)))
	}
	if d.stopping.Load() {
		d.rejectEarly(w, r, "this proxy is stopping")
		return
	}
	before := time.Since(begun)
	rep, forwarded := d.Dispatch(c)
	after := time.Now()
	writeResponse(w, r, rep)
	d.meter.recordRequest(route.Name, route.Service, before+time.Since(after), time.Since(begun)-forwarded)
}

// rejectEarly gives a request up before any dispatcher has it. A marked later attempt may
// have run before, and only a dispatcher could tell: it gets no "busy".
func (d *Daemon) rejectEarly(w http.ResponseWriter, r *http.Request, why string) {
	if a := r.Header.Get("Attempt"); a != "1" && r.Header.Get("Idempotency-Key") != "" {
		writeProblem(w, http.StatusGatewayTimeout, "unknown", why+"; whether an earlier attempt ran isn't known", 0)
		return
	}
	writeProblem(w, http.StatusServiceUnavailable, "declined", why, 1)
}

// readClientRequest takes the request whole and checks what a client must say.
func (d *Daemon) readClientRequest(r *http.Request, w http.ResponseWriter, route configuration.Route, v *configuration.View) (*ClientRequest, int, string) {
	j := d.NewJob(route, v)
	// Two of one header: each reader could take another for the truth.
	for _, name := range []string{"Idempotency-Key", "Attempt", "Time-Left"} {
		if len(r.Header.Values(name)) > 1 {
			return nil, http.StatusBadRequest, name + " stands twice"
		}
	}
	came, limit := process.Now(), route.Timeout()
	if s := r.Header.Get("Time-Left"); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms < 0 || ms > 1e9 {
			return nil, http.StatusBadRequest, "Time-Left must be a number of milliseconds"
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	if s := r.Header.Get("Attempt"); s != "" {
		n, err := strconv.ParseUint(s, 10, 32)
		if err != nil || n == 0 {
			return nil, http.StatusBadRequest, "Attempt must be a number from 1"
		}
		j.Attempt = uint32(n)
	}
	j.IdempotencyKey = ids.IdempotencyKey(r.Header.Get("Idempotency-Key"))
	if !route.Repeatable && !route.WithoutIdempotencyKey && !idempotencyKeyPattern.MatchString(string(j.IdempotencyKey)) {
		return nil, http.StatusBadRequest, "this route takes no request without an Idempotency-Key of 1 to 256 printable characters"
	}
	body, held, err := d.ReadBody(w, r, int64(route.MaxBodyBytes), time.Time{})
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		return nil, http.StatusRequestEntityTooLarge, "body over the route's limit of " + strconv.Itoa(route.MaxBodyBytes) + " bytes"
	case errors.Is(err, ErrMemoryBudgetExceeded):
		return nil, http.StatusServiceUnavailable, err.Error()
	case err != nil:
		return nil, http.StatusBadRequest, "the body ended early"
	}
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.URL.RequestURI()), body} {
		h.Write([]byte(strconv.Itoa(len(part)) + " "))
		h.Write(part)
	}
	j.Fingerprint = h.Sum(nil)
	j.Deadline = came.Add(limit)
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return &ClientRequest{Job: j, Method: r.Method, URI: r.URL.RequestURI(), Header: r.Header, Body: body, Memory: held, ClientIP: host}, 0, ""
}

var classNames = [...]string{"", "declined", "unknown", "answered", "misused"}

// writeResponse gives the client the one answer.
func writeResponse(w http.ResponseWriter, r *http.Request, rep dispatch.Response) {
	if rep.Class != dispatch.Answered || rep.TargetResponse.BodyOmitted {
		writeProblem(w, rep.Status, classNames[rep.Class], rep.Reason, int((rep.RetryAfter+time.Second-1)/time.Second))
		return
	}
	for _, h := range rep.TargetResponse.Header {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set("Dunlinwell-Class", "answered")
	w.Header().Set("Content-Length", strconv.Itoa(len(rep.TargetResponse.Body)))
	w.WriteHeader(rep.Status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(rep.TargetResponse.Body)
	}
}
