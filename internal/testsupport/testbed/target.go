package testbed

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/checker"
)

// Target is a stand-in target. It announces itself, shows who it is, seals its
// answers, and writes down each execution.
type Target struct {
	Instance ids.InstanceID
	Service  ids.Name
	Zone     ids.Name
	Address  string
	Capacity int
	Work     time.Duration
	Checker  *checker.Checker
	// Registries names where to announce; any of them will do.
	Registries func() []string
	// Delay is the time one way between two IP numbers.
	Delay func(from, to string) time.Duration

	mu          sync.Mutex
	server      *http.Server
	incarnation int64
	sequence    int64
	warmUpStart time.Time
	drainedAt   time.Time
	draining    bool
	inFlight    atomic.Int64
	// CorruptPercent and Mute are shares of answers that are spoiled, or lost after
	// the work was done.
	CorruptPercent, LostPercent atomic.Int64
	stop                        context.CancelFunc
	// listenAddress is where it listens behind the relay; Source is where it calls from.
	listenAddress string
	// freezeLock is held while it is frozen; silent is since when the core can't
	// have heard from it.
	freezeLock       sync.RWMutex
	unreachableSince atomic.Int64
	// Routes tells a path's route, and ZoneOf where a proxy stands.
	RouteOf func(path string) ids.Name
	ZoneOf  func(proxy string) ids.Name
	// OnExecution hears of each run, by the zone of the proxy that it came by.
	OnExecution func(by ids.Name)
}

// warmUpTime is how long a stand-in takes to bear all after a restart.
const warmUpTime = 3 * time.Second

// Start begins a new incarnation, cold unless it is the first.
func (t *Target) Start(cold bool) error {
	at := t.Address
	if t.listenAddress != "" {
		at = t.listenAddress
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.incarnation = time.Now().UnixMicro()
	t.sequence, t.draining, t.drainedAt = 0, false, time.Time{}
	t.warmUpStart = time.Now()
	if !cold {
		t.warmUpStart = t.warmUpStart.Add(-warmUpTime)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	s := t.server
	t.mu.Unlock()
	t.inFlight.Store(0)
	go func() { _ = s.Serve(l) }()
	go t.announceLoop(ctx)
	return nil
}

// Crash ends it without a word.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stop != nil {
		t.stop()
		_ = t.server.Close()
	}
}

// Drain says that it leaves; it still serves what comes.
func (t *Target) Drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	if t.announce() {
		t.mu.Lock()
		t.drainedAt = time.Now()
		t.mu.Unlock()
		t.Checker.NetworkPartitioned()
	}
}

func (t *Target) warmth() float64 {
	return min(1, max(0.1, float64(time.Since(t.warmUpStart))/float64(warmUpTime)))
}

func (t *Target) announceLoop(ctx context.Context) {
	for {
		t.freezeLock.RLock()
		if ctx.Err() == nil {
			t.announce()
		}
		t.freezeLock.RUnlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

func (t *Target) announce() bool {
	t.mu.Lock()
	t.sequence++
	body, _ := json.Marshal(map[string]any{
		"instance": t.Instance, "incarnation": t.incarnation, "sequence": t.sequence,
		"service": t.Service, "address": t.Address, "cell": t.Zone, "leaving": t.draining, "warmth": t.warmth(),
		"occupancy": t.inFlight.Load(), "capacity": t.Capacity, "interval_ms": 1000,
	})
	t.mu.Unlock()
	for _, registry := range t.Registries() {
		res, err := clientFrom(ipOf(t.Address), 700*time.Millisecond).Post("http://"+registry+"/v1/announce", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	t.freezeLock.RLock()
	defer t.freezeLock.RUnlock()
	if r.URL.Path == "/.well-known/dunlinwell" {
		t.mu.Lock()
		raw, _ := json.Marshal(map[string]any{"instance": t.Instance, "service": t.Service, "leaving": t.draining, "incarnation": t.incarnation})
		t.mu.Unlock()
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		_, _ = w.Write(raw)
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
		panic(http.ErrAbortHandler)
	}
	body := []byte(fmt.Sprintf(`{"uri":%q,"mark":%q,"instance":%q,"run":"%x"}`, r.RequestURI, r.Header.Get("Idempotency-Key"), t.Instance, rand.Uint64()))
	sum := sha256.Sum256(body)
	if rand.Int64N(100) < t.CorruptPercent.Load() {
		body[len(body)/2] ^= 0x20
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if m := r.Header.Get("Idempotency-Key"); m != "" {
		h.Set("Idempotency-Key", m)
	}
	h.Set("Server-Timing", "cpu;dur=5")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// recordExecution writes an execution down, and what is wrong with it.
func (t *Target) recordExecution(r *http.Request, concurrent int64, receivedAt time.Time) {
	n, _ := strconv.Atoi(r.Header.Get("Attempt"))
	execution := checker.Execution{At: time.Now(), Sent: receivedAt, Instance: t.Instance, Service: t.Service, Zone: t.Zone, Token: r.URL.Query().Get("token"), IdempotencyKey: r.Header.Get("Idempotency-Key"), Attempt: n}
	if ms, err := strconv.Atoi(r.Header.Get("Time-Left")); err == nil {
		execution.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	// Its bytes had left by the time they came, before any freeze held them up.
	execution.Proxy, execution.Route = proxyOfRequestID(r.Header.Get("Request-Id")), t.RouteOf(r.URL.Path)
	execution.ProxyZone = t.ZoneOf(execution.Proxy)
	t.OnExecution(execution.ProxyZone)
	t.mu.Lock()
	if !t.drainedAt.IsZero() {
		execution.After = receivedAt.Sub(t.drainedAt)
	}
	// The core counts three intervals of silence as gone.
	if s := t.unreachableSince.Load(); s != 0 {
		execution.After = max(execution.After, receivedAt.Sub(time.Unix(0, s))-registrarTimeout)
	}
	bearable := max(float64(t.Capacity)*t.warmth(), 1)
	t.mu.Unlock()
	t.Checker.RequestExecuted(execution)
	if want := r.URL.Query().Get("service"); want != "" && want != string(t.Service) {
		t.Checker.Violation("%s of %s got a request meant for %s", t.Instance, t.Service, want)
	}
	// One more than the fraction: places are whole.
	if float64(concurrent) > 1.5*bearable+1 {
		t.Checker.Overloaded("%s had %d at once and bears %.1f", t.Instance, concurrent, bearable)
	}
}
