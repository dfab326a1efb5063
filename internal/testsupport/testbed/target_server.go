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

// identityPath is where a proxy asks a target who it is.
const identityPath = "/.well-known/dunlinwell"

// statedCPUMillis is what stand-in targets state as the CPU time of each request.
const statedCPUMillis = 5

// overloadFactor is how far above its capacity a target may get requests, as
// several proxies share it without asking each other.
const overloadFactor = 1.5

// identityDocument is the body of GET identityPath.
type identityDocument struct {
	Incarnation int64          `json:"incarnation"`
	Instance    ids.InstanceID `json:"instance"`
	Draining    bool           `json:"leaving"`
	Service     ids.Name       `json:"service"`
}

// serve serves the identity document, and executes any other request.
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
	time.Sleep(t.Work/2 + time.Duration(rand.Int64N(int64(t.Work))))
	if rand.Int64N(100) < t.LostPercent.Load() {
		panic(http.ErrAbortHandler) // cuts the connection
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

// answer writes an answer that names its request, with the digest that lets a
// proxy find corrupted bytes.
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
	h.Set("Server-Timing", fmt.Sprintf("cpu;dur=%d", statedCPUMillis))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// recordExecution reports an execution to the checker, and violations that only
// the target can see.
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
	bearable := max(float64(t.Capacity)*t.warmth(), 1)
	t.mu.Unlock()
	t.Checker.RequestExecuted(execution)
	if want := r.URL.Query().Get("service"); want != "" && want != string(t.Service) {
		t.Checker.Violation("%s of %s got a request meant for %s", t.Instance, t.Service, want)
	}
	// Concurrency slots are whole: one more than the fraction.
	if float64(concurrent) > overloadFactor*bearable+1 {
		t.Checker.TargetOverloaded("%s had %d at once and bears %.1f", t.Instance, concurrent, bearable)
	}
}

// newExecution is the execution of a request, without what depends on the
// target's state. receivedAt is before any freeze held it up.
func (t *Target) newExecution(r *http.Request, receivedAt time.Time) checker.Execution {
	attempt, _ := strconv.Atoi(r.Header.Get("Attempt")) // 0 if it has none
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

// proxyOfRequestID is the proxy that made a request id, which has the form
// proxy-run-number.
func proxyOfRequestID(id string) string {
	for range 2 {
		if i := strings.LastIndex(id, "-"); i > 0 {
			id = id[:i]
		}
	}
	return id
}
