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

// Options are the options of a dispatcher.
type Options struct {
	Self       idempotency.Owner
	Random     *rand.Rand
	QueueLimit int
}

// Dispatcher is the machine for one service at one proxy. Its owner holds a short
// lock around Step, and carries the commands out after letting go of it.
type Dispatcher struct {
	event.Outbox
	Options
	service        ServiceState
	leaseExpiresAt ids.Time
	jobs           map[ids.RequestID]*job
	queue          []*job
	endpoints      map[ids.InstanceID]*endpoint
	// sortedEndpoints is the spots in order, and best is used anew by each choice.
	sortedEndpoints  []*endpoint
	candidates       []*endpoint
	retryBudget      retryBudget
	longestTimeout   map[ids.Name]time.Duration
	meanResponseTime time.Duration
	lastTickAt       ids.Time
	Counters         Counters
	// failureReasons count why requests got no answer of a target.
	failureReasons map[string]int
}

// Counters counts what the dispatcher did, for reports and pages.
type Counters struct {
	Arrived, Rejected, Unknown, Answered, Forwarded, Retried, Replayed uint64
	// CrossZone and Far count those of Forwarded that left their zone, and region.
	CrossZone, CrossRegion uint64
}

// New makes a dispatcher with nothing to hand.
func New(options Options) *Dispatcher {
	if options.QueueLimit == 0 {
		options.QueueLimit = 128
	}
	return &Dispatcher{Options: options, jobs: map[ids.RequestID]*job{}, endpoints: map[ids.InstanceID]*endpoint{}, longestTimeout: map[ids.Name]time.Duration{}, meanResponseTime: 20 * time.Millisecond}
}

// Step is the machine's one entrance.
func (d *Dispatcher) Step(now ids.Time, ev event.Event) []event.Command {
	switch e := ev.(type) {
	case RequestArrived:
		d.onRequestArrived(now, e.Job)
	case IdempotencyReply:
		d.onIdempotencyReply(now, e)
	case AttemptFinished:
		d.onAttemptFinished(now, e)
	case ServiceState:
		d.onServiceState(now, e)
	case LeaseUpdated:
		d.leaseExpiresAt = e.ExpiresAt
	case event.Tick:
		d.onTick(now)
	}
	return d.Drain()
}

// QueueLength counts the requests in the queue.
func (d *Dispatcher) QueueLength() int { return len(d.queue) }

// JobCount counts the requests in hand.
func (d *Dispatcher) JobCount() int { return len(d.jobs) }

// onTick ends what has run out of time and looks again at what waits.
func (d *Dispatcher) onTick(now ids.Time) {
	d.lastTickAt = now
	for _, id := range d.sortedJobIDs() {
		j := d.jobs[id]
		switch {
		case j == nil:
		case j.state == waitingForOwner && now >= j.Deadline:
			d.respondUnknown(now, j, 504, "another attempt is still running")
		case j.state == waitingForOwner && now >= j.recheckAt:
			d.readRecord(now, j)
		}
	}
	d.pruneQueue(now)
	d.dispatchQueue(now)
}

func (d *Dispatcher) sortedJobIDs() []ids.RequestID { return slices.Sorted(maps.Keys(d.jobs)) }

// countForward counts a request that leaves, by how far it goes.
func (c *Counters) countForward(distance float64) {
	c.Forwarded++
	switch {
	case distance > 1:
		c.CrossRegion++
	case distance > 0:
		c.CrossZone++
	}
}
