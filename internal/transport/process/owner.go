package process

import (
	"context"
	"time"

	"dunlinwell/internal/base/event"
)

// ownerQueueLength is how many events may wait for a machine. Beyond it messages are
// lost (Offer) and other events wait (Put).
const ownerQueueLength = 4096

// Owner steps a machine with the events of its queue and of a timer, and executes the
// commands that the machine gives.
type Owner struct {
	event.Machine
	// Execute carries out one command. It must not wait for the owner.
	Execute func(event.Command)
	// TickEvery is the interval of event.Tick.
	TickEvery time.Duration
	queue     chan event.Event
}

// NewOwner makes an owner of a machine.
func NewOwner(machine event.Machine, tickEvery time.Duration, execute func(event.Command)) *Owner {
	return &Owner{Machine: machine, Execute: execute, TickEvery: tickEvery, queue: make(chan event.Event, ownerQueueLength)}
}

// Put queues an event, and waits while the queue is full.
func (o *Owner) Put(ev event.Event) { o.queue <- ev }

// Offer queues an event unless the queue is full. It is for messages from peers, which
// may be lost and must not hold up the connections.
func (o *Owner) Offer(ev event.Event) {
	select {
	case o.queue <- ev:
	default:
	}
}

// Serve steps the machine until the context ends.
func (o *Owner) Serve(ctx context.Context) error {
	ticker := time.NewTicker(o.TickEvery)
	defer ticker.Stop()
	for {
		var ev event.Event
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev = <-o.queue:
		case <-ticker.C:
			ev = event.Tick{}
		}
		for _, command := range o.Step(Now(), ev) {
			o.Execute(command)
		}
	}
}
