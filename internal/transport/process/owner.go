// Package hoist runs the pure machines in real processes: an owner for each,
// held connections between them, a clock and a log.
package process

import (
	"context"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

var processStart = time.Now()

// Now is the process's own monotonic time. It starts at one, as zero stands
// for "never" in the machines.
func Now() ids.Time { return ids.Time(time.Since(processStart)) + 1 }

// Owner is the one that steps a machine. Events come through its queue.
type Owner struct {
	event.Machine
	// Execute carries out one command; it must not wait for the owner.
	Execute   func(event.Command)
	TickEvery time.Duration
	queue     chan event.Event
}

// NewOwner makes an owner with a queue of some length.
func NewOwner(machine event.Machine, tickEvery time.Duration, execute func(event.Command)) *Owner {
	return &Owner{Machine: machine, Execute: execute, TickEvery: tickEvery, queue: make(chan event.Event, 4096)}
}

// Put hands an event in and waits if the queue is full.
func (o *Owner) Put(ev event.Event) { o.queue <- ev }

// Offer hands an event in unless the queue is full; what comes off the wire
// may be lost, and must not hold the connections up.
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
		for _, c := range o.Step(Now(), ev) {
			o.Execute(c)
		}
	}
}
