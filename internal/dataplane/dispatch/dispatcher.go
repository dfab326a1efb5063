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

// Options are the settings of a dispatcher that stay for its life.
type Options struct {
	// Self is the proxy's run, which owns the claims of idempotency keys. Its Request is
	// filled in for each claim.
	Self idempotency.Owner
	// Random draws among equally good targets.
	Random *rand.Rand
	// QueueLimit is the most requests that may wait in the queue; 0 for defaultQueueLimit.
	QueueLimit int
}

const (
	// defaultQueueLimit is the QueueLimit of Options that name none.
	defaultQueueLimit = 128
	// initialResponseTime is the mean response time assumed before the first response.
	initialResponseTime = 20 * time.Millisecond
	// responseTimeSmoothing is the divisor of the moving average of response times: the
	// newest counts for an eighth.
	responseTimeSmoothing = 8
)

// Dispatcher is the load balancer of one service at one proxy, as a state machine. It is
// not safe for concurrent use: its owner holds a short lock around Step, and carries
// the commands out after releasing it.
type Dispatcher struct {
	event.Outbox
	Options
	service        ServiceState
	leaseExpiresAt ids.Time
	// jobs are all requests without a response yet; queue are those of them in the
	// state queued, most urgent first.
	jobs  map[ids.RequestID]*job
	queue []*job
	// endpoints includes targets that were removed and still have requests in flight.
	endpoints map[ids.InstanceID]*endpoint
	// sortedEndpoints are endpoints by instance; candidates is scratch space of each
	// choice of a target.
	sortedEndpoints []*endpoint
	candidates      []*endpoint
	retryBudget     retryBudget
	// longestTimeout is, by route, the longest time that clients give their requests.
	longestTimeout map[ids.Name]time.Duration
	// meanResponseTime is a moving average over all targets.
	meanResponseTime time.Duration
	lastTickAt       ids.Time
	Counters         Counters
	// failureReasons counts why requests got no response of a target.
	failureReasons map[string]int
}

// Counters count what a dispatcher did since its start, for metrics and reports.
type Counters struct {
	// Replayed counts requests that got the stored response of an earlier attempt.
	Arrived, Rejected, Unknown, Answered, Forwarded, Retried, Replayed uint64
	// ClientDisconnects counts requests whose client went away before their response.
	ClientDisconnects uint64
	// CrossZone and CrossRegion count those of Forwarded that went to another zone of
	// the proxy's region, and to another region.
	CrossZone, CrossRegion uint64
}

// New returns a dispatcher that knows no targets yet and rejects what arrives.
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

// Step applies an event and returns the commands that follow from it, in order.
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

// QueueLength returns the number of requests that wait for a slot.
func (d *Dispatcher) QueueLength() int { return len(d.queue) }

// JobCount returns the number of requests without a response yet.
func (d *Dispatcher) JobCount() int { return len(d.jobs) }

// onTick ends waits that ran out of time, reads awaited records again, and reviews the queue.
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

// sortedJobIDs returns the ids of all jobs in order, so that equal runs take equal decisions.
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
