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
	// warmUpTime is the time that a restarted target takes to reach its full capacity.
	warmUpTime = 3 * time.Second
	// minWarmth is the fraction of its capacity that a target has right after a restart.
	minWarmth = 0.1
	// registrarTimeout is the time without heartbeats after which registries remove a
	// target: three intervals, plus half an interval until the next periodic check.
	registrarTimeout = 3500 * time.Millisecond
)

// Target is a stand-in target. It sends heartbeats, serves its identity document and
// client requests, and reports each execution to the checker.
type Target struct {
	Instance ids.InstanceID
	Service  ids.Name
	Zone     ids.Name
	Address  string
	// Capacity is the number of concurrent requests that it can serve when warm.
	Capacity int
	// ServiceTime is the average service time; actual times range from half to one and a half
	// times that.
	ServiceTime time.Duration
	Checker     *checker.Checker
	// Registries returns the HTTP addresses of the registries, in the order to try.
	Registries func() []string
	// Delay returns the one-way latency between two IP addresses, which targets add.
	Delay func(from, to string) time.Duration
	// RouteOf returns the route of a path, ZoneOf the zone of a proxy.
	RouteOf func(path string) ids.Name
	ZoneOf  func(proxy string) ids.Name
	// OnExecution is called for each execution with the zone of its proxy.
	OnExecution func(proxyZone ids.Name)
	// CorruptPercent and LostPercent are the percentages of responses that are corrupted,
	// or lost because the connection is closed after the execution.
	CorruptPercent, LostPercent atomic.Int64

	// mu guards the fields below, up to stop.
	mu          sync.Mutex
	server      *http.Server
	incarnation int64
	sequence    int64
	warmUpStart time.Time
	draining    bool
	// drainedAt is when a registry acknowledged that the target is draining; zero before.
	drainedAt time.Time
	// stop stops the heartbeats.
	stop context.CancelFunc

	// listenAddress is the address behind the relay; empty without a relay.
	listenAddress string
	inFlight      atomic.Int64
	// freezeLock is held by Freeze, and for reading by all activities that a freeze suspends.
	freezeLock sync.RWMutex
	// unreachableSince is the time in Unix nanoseconds since which no heartbeat can have
	// arrived; 0 if heartbeats arrive.
	unreachableSince atomic.Int64
}

// Start starts a new incarnation. A cold one reaches its full capacity after warmUpTime.
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
	go func() { _ = server.Serve(listener) }() // returns after Crash
	go t.announceLoop(ctx)
	return nil
}

// Crash stops the target and closes all its connections at once, without announcing it.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stop != nil {
		t.stop()
		_ = t.server.Close()
	}
}

// Drain announces that the target is draining; it continues to serve requests.
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

// SetUnreachable records whether heartbeats are prevented from reaching the registries.
func (t *Target) SetUnreachable(unreachable bool) {
	if !unreachable {
		t.unreachableSince.Store(0)
		return
	}
	t.unreachableSince.Store(time.Now().UnixNano())
	t.Checker.TargetDepartureKnown()
}

// Freeze suspends the target for a duration, like SIGSTOP; its connections stay open.
func (t *Target) Freeze(duration time.Duration) {
	t.freezeLock.Lock()
	defer t.freezeLock.Unlock()
	t.SetUnreachable(true)
	time.Sleep(duration)
	t.SetUnreachable(false)
}

// warmth returns the fraction of its capacity that the target has now. The caller holds mu.
func (t *Target) warmth() float64 {
	return min(1, max(minWarmth, float64(time.Since(t.warmUpStart))/float64(warmUpTime)))
}
