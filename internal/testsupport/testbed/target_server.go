package testbed

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/checker"
)

// identityPath is the path of the document by which proxies verify a target's identity.
const identityPath = "/.well-known/dunlinwell"

// reportedCPUMillis is the CPU time that stand-in targets report for each request.
const reportedCPUMillis = 5

// overloadFactor is the multiple of its capacity up to which a target may get concurrent
// requests, as the proxies that share it don't coordinate.
const overloadFactor = 1.5

// identityDocument is the body of GET identityPath.
type identityDocument struct {
	Incarnation int64          `json:"incarnation"`
	Instance    ids.InstanceID `json:"instance"`
	Draining    bool           `json:"leaving"`
	Service     ids.Name       `json:"service"`
}

// serve serves the identity document, and treats any other request as a client's.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	t.freezeLock.RLock()
	defer t.freezeLock.RUnlock()
	if r.URL.Path == identityPath {
		t.serveIdentity(w)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	latency := t.Delay(ipOf(r.RemoteAddr), ipOf(t.Address))
	time.Sleep(latency)
	defer time.Sleep(latency)
	concurrent := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	t.recordExecution(r, concurrent, receivedAt)
	time.Sleep(t.ServiceTime/2 + time.Duration(rand.Int64N(int64(t.ServiceTime))))
	if rand.Int64N(100) < t.LostPercent.Load() {
		panic(http.ErrAbortHandler) // closes the connection
	}
	t.answer(w, r)
}

func (t *Target) serveIdentity(w http.ResponseWriter) {
	t.mu.Lock()
	body := mustJSON(identityDocument{Incarnation: t.incarnation, Instance: t.Instance, Draining: t.draining, Service: t.Service})
	t.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// answer writes a response that identifies its request, with a digest by which proxies
// detect corruption.
func (t *Target) answer(w http.ResponseWriter, r *http.Request) {
	idempotencyKey := r.Header.Get("Idempotency-Key")
	body := fmt.Appendf(nil, `{"uri":%q,"mark":%q,"instance":%q,"run":"%x"}`, r.RequestURI, idempotencyKey, t.Instance, rand.Uint64())
	digest := sha256.Sum256(body)
	if rand.Int64N(100) < t.CorruptPercent.Load() {
		body[len(body)/2] ^= 0x20
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(digest[:])+":")
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if idempotencyKey != "" {
		h.Set("Idempotency-Key", idempotencyKey)
	}
	h.Set("Server-Timing", fmt.Sprintf("cpu;dur=%d", reportedCPUMillis))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// recordExecution reports an execution to the checker, and violations that only the target
// can detect.
func (t *Target) recordExecution(r *http.Request, concurrent int64, receivedAt time.Time) {
	execution := t.newExecution(r, receivedAt)
	t.OnExecution(execution.ProxyZone)
	t.mu.Lock()
	if !t.drainedAt.IsZero() {
		execution.DepartureKnownFor = receivedAt.Sub(t.drainedAt)
	}
	if since := t.unreachableSince.Load(); since != 0 {
		execution.DepartureKnownFor = max(execution.DepartureKnownFor, receivedAt.Sub(time.Unix(0, since))-registrarTimeout)
	}
	warmCapacity := max(float64(t.Capacity)*t.warmth(), 1)
	t.mu.Unlock()
	t.Checker.RequestExecuted(execution)
	if want := r.URL.Query().Get("service"); want != "" && want != string(t.Service) {
		t.Checker.Violation("%s of service %s got a request for service %s", t.Instance, t.Service, want)
	}
	// Concurrency slots are whole numbers, so one more than the fraction is allowed.
	if float64(concurrent) > overloadFactor*warmCapacity+1 {
		t.Checker.TargetOverloaded("%s had %d concurrent requests with a capacity of %.1f", t.Instance, concurrent, warmCapacity)
	}
}

// newExecution returns the record of an execution, without the fields that depend on the
// target's state. receivedAt is the time before any delay by a freeze.
func (t *Target) newExecution(r *http.Request, receivedAt time.Time) checker.Execution {
	attempt, _ := strconv.Atoi(r.Header.Get("Attempt")) // 0 without the header
	e := checker.Execution{
		At: time.Now(), Sent: receivedAt, Instance: t.Instance, Service: t.Service, Zone: t.Zone,
		Token: r.URL.Query().Get("token"), IdempotencyKey: r.Header.Get("Idempotency-Key"), Attempt: attempt,
		Proxy: proxyOfRequestID(r.Header.Get("Request-Id")), Route: t.RouteOf(r.URL.Path),
	}
	if millis, err := strconv.Atoi(r.Header.Get("Time-Left")); err == nil {
		e.TimeLeft = time.Duration(millis) * time.Millisecond
	}
	e.ProxyZone = t.ZoneOf(e.Proxy)
	return e
}

// proxyOfRequestID returns the name of the proxy that assigned a request id, which has the
// form proxy-run-number.
func proxyOfRequestID(id string) string {
	for range 2 {
		if i := strings.LastIndex(id, "-"); i > 0 {
			id = id[:i]
		}
	}
	return id
}
