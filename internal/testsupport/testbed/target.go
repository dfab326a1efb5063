package testbed

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/checker"
)

const (
	// warmUpTime is how long a restarted target takes to reach its full capacity.
	warmUpTime = 3 * time.Second
	// minWarmth is the share of its capacity that a target has just after a restart.
	minWarmth = 0.1
	// registrarTimeout is how long without a heartbeat a registrar takes a target for
	// gone, three intervals, and half an interval more for the tick that finds it.
	registrarTimeout = 3500 * time.Millisecond
)

// Target is a stand-in target. It sends heartbeats, serves its identity document
// and requests, and reports each execution to the checker.
type Target struct {
	Instance ids.InstanceID
	Service  ids.Name
	Zone     ids.Name
	Address  string
	// Capacity is how many requests it bears at once when warm.
	Capacity int
	// Work is how long a request takes on average: half of it to one and a half.
	Work    time.Duration
	Checker *checker.Checker
	// Registries returns the HTTP addresses of the registries, in the order to try.
	Registries func() []string
	// Delay is the time one way between two IP addresses, which targets wait.
	Delay func(from, to string) time.Duration
	// RouteOf is the route of a path, ZoneOf the zone of a proxy.
	RouteOf func(path string) ids.Name
	ZoneOf  func(proxy string) ids.Name
	// OnExecution is called for each execution with the zone of its proxy.
	OnExecution func(proxyZone ids.Name)
	// CorruptPercent and LostPercent are how many of a hundred answers are
	// corrupted, or cut off after the execution.
	CorruptPercent, LostPercent atomic.Int64

	// mu guards what follows, up to stop.
	mu          sync.Mutex
	server      *http.Server
	incarnation int64
	sequence    int64
	warmUpStart time.Time
	draining    bool
	// drainedAt is when a registry acknowledged the departure; zero before.
	drainedAt time.Time
	// stop ends the heartbeats.
	stop context.CancelFunc

	// listenAddress is where it listens behind the relay; empty without a relay.
	listenAddress string
	inFlight      atomic.Int64
	// freezeLock is held by Freeze, and for reading by all that a frozen process
	// wouldn't do.
	freezeLock sync.RWMutex
	// unreachableSince is the time in Unix nanoseconds since when no heartbeat can
	// have arrived; 0 if heartbeats arrive.
	unreachableSince atomic.Int64
}

// Start begins a new incarnation. A cold one needs warmUpTime to bear its capacity.
func (t *Target) Start(cold bool) error {
	address := t.Address
	if t.listenAddress != "" {
		address = t.listenAddress
	}
	listener, err := net.Listen("tcp", address)
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
	server := t.server
	t.mu.Unlock()
	t.inFlight.Store(0)
	go func() { _ = server.Serve(listener) }() // ends with Crash
	go t.announceLoop(ctx)
	return nil
}

// Crash ends it at once, with all its connections and without notice.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stop != nil {
		t.stop()
		_ = t.server.Close()
	}
}

// Drain announces its departure; it still serves requests.
func (t *Target) Drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	if t.announce() {
		t.mu.Lock()
		t.drainedAt = time.Now()
		t.mu.Unlock()
		t.Checker.TargetDepartureKnown()
	}
}

// SetUnreachable notes that heartbeats can't reach the registries any more, or
// can again.
func (t *Target) SetUnreachable(unreachable bool) {
	if !unreachable {
		t.unreachableSince.Store(0)
		return
	}
	t.unreachableSince.Store(time.Now().UnixNano())
	t.Checker.TargetDepartureKnown()
}

// Freeze stops it for a duration, as SIGSTOP would; its connections stay open.
func (t *Target) Freeze(duration time.Duration) {
	t.freezeLock.Lock()
	defer t.freezeLock.Unlock()
	t.SetUnreachable(true)
	time.Sleep(duration)
	t.SetUnreachable(false)
}

// warmth is the share of its capacity that it has now. The caller holds mu.
func (t *Target) warmth() float64 {
	return min(1, max(minWarmth, float64(time.Since(t.warmUpStart))/float64(warmUpTime)))
}
