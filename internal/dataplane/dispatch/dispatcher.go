package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// Options are the fixed settings of a dispatcher.
type Options struct {
	// Self identifies the run of this proxy as the owner of its claims of idempotency keys.
	// Its Request field is set for each claim.
	Self idempotency.Owner
	// Random breaks ties between targets.
	Random *rand.Rand
	// QueueLimit is the maximum number of queued requests; 0 for defaultQueueLimit.
	QueueLimit int
}

const (
	// defaultQueueLimit is used if Options.QueueLimit is 0.
	defaultQueueLimit = 128
	// initialResponseTime is the mean response time assumed before the first response.
	initialResponseTime = 20 * time.Millisecond
	// responseTimeSmoothing is the inverse weight of the newest sample in the exponential
	// moving average of response times.
	responseTimeSmoothing = 8
)

// Dispatcher is the load balancer of one service at one proxy, as a state machine. It is
// not safe for concurrent use: the caller holds a lock around Step, and executes the
// commands after releasing it.
type Dispatcher struct {
	event.Outbox
	Options
	service        ServiceState
	leaseExpiresAt ids.Time
	// jobs contains all requests without a response; queue contains those in state queued,
	// most urgent first.
	jobs  map[ids.RequestID]*job
	queue []*job
	// endpoints also contains removed targets that still have requests in flight.
	endpoints map[ids.InstanceID]*endpoint
	// sortedEndpoints contains the endpoints sorted by instance; candidates is a buffer
	// reused by nearestCandidates.
	sortedEndpoints []*endpoint
	candidates      []*endpoint
	retryBudget     retryBudget
	// longestTimeout is the longest recent client timeout of each route (checkGoalReachable).
	longestTimeout map[ids.Name]time.Duration
	// meanResponseTime is a moving average over all targets.
	meanResponseTime time.Duration
	lastTickAt       ids.Time
	Counters         Counters
	// failureReasons counts rejected and unknown responses by reason.
	failureReasons map[string]int
}

// Counters are a dispatcher's totals since its start, for metrics and reports.
type Counters struct {
	// Replayed counts requests that got the stored response of an earlier attempt.
	Arrived, Rejected, Unknown, Answered, Forwarded, Retried, Replayed uint64
	// ClientDisconnects counts requests whose client disconnected before the response.
	ClientDisconnects uint64
	// CrossZone and CrossRegion count the forwarded requests that went to another zone of
	// the proxy's region and to another region.
	CrossZone, CrossRegion uint64
}

// New returns a dispatcher without targets. It rejects requests until it gets a ServiceState.
func New(options Options) *Dispatcher {
	if options.QueueLimit == 0 {
		options.QueueLimit = defaultQueueLimit
	}
	return &Dispatcher{
		Options:          options,
		jobs:             map[ids.RequestID]*job{},
		endpoints:        map[ids.InstanceID]*endpoint{},
		longestTimeout:   map[ids.Name]time.Duration{},
		meanResponseTime: initialResponseTime,
	}
}

// Step applies an event and returns the resulting commands in order.
func (d *Dispatcher) Step(now ids.Time, ev event.Event) []event.Command {
	switch e := ev.(type) {
	case RequestArrived:
		d.onRequestArrived(now, e.Job)
	case IdempotencyReply:
		d.onIdempotencyReply(now, e)
	case AttemptFinished:
		d.onAttemptFinished(now, e)
	case ClientDisconnected:
		d.onClientDisconnected(now, e.ID)
	case ServiceState:
		d.onServiceState(now, e)
	case RouteRulesUpdated:
		d.service.RouteRules = e.RouteRules
		d.dispatchQueue(now)
	case LeaseUpdated:
		d.leaseExpiresAt = e.ExpiresAt
	case event.Tick:
		d.onTick(now)
	}
	return d.Drain()
}

// QueueLength returns the number of requests waiting for a slot.
func (d *Dispatcher) QueueLength() int { return len(d.queue) }

// JobCount returns the number of requests without a response.
func (d *Dispatcher) JobCount() int { return len(d.jobs) }

// onTick ends expired waits for other attempts, polls the records of pending ones, prunes the
// queue and assigns free slots.
func (d *Dispatcher) onTick(now ids.Time) {
	d.lastTickAt = now
	for _, id := range d.sortedJobIDs() {
		j := d.jobs[id]
		switch {
		case j == nil || j.state != waitingForOwner:
		case now >= j.Deadline:
			d.respondUnknown(now, j, statusGatewayTimeout, reasonStillRunning)
		case now >= j.recheckAt:
			d.readRecord(now, j)
		}
	}
	d.pruneQueue(now)
	d.dispatchQueue(now)
}

// sortedJobIDs returns the IDs of all jobs in order, which keeps decisions deterministic.
func (d *Dispatcher) sortedJobIDs() []ids.RequestID { return slices.Sorted(maps.Keys(d.jobs)) }

// countForward counts a forwarded request by the distance to its target.
func (c *Counters) countForward(distance float64) {
	c.Forwarded++
	switch {
	case distance > sameRegionDistance:
		c.CrossRegion++
	case distance > sameZoneDistance:
		c.CrossZone++
	}
}
