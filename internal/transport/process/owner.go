// Package hoist runs the pure machines in real processes: an owner for each,
// held connections between them, a clock and a log.
package process

import (
	"context"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

var begun = time.Now()

// Now is the process's own monotonic time. It starts at one, as zero stands
// for "never" in the machines.
func Now() ids.Time { return ids.Time(time.Since(begun)) + 1 }

// Owner is the one that steps a machine. Events come through its inbox.
type Owner struct {
	event.Machine
	// Do carries out one command; it must not wait for the owner.
	Do        func(event.Command)
	TickEvery time.Duration
	inbox     chan event.Event
}

// NewOwner makes an owner with an inbox of some length.
func NewOwner(m event.Machine, beat time.Duration, do func(event.Command)) *Owner {
	return &Owner{Machine: m, Do: do, TickEvery: beat, inbox: make(chan event.Event, 4096)}
}

// Put hands an event in and waits if the inbox is full.
func (o *Owner) Put(ev event.Event) { o.inbox <- ev }

// Offer hands an event in unless the inbox is full; what comes off the wire
// may be lost, and must not hold the connections up.
func (o *Owner) Offer(ev event.Event) {
	select {
	case o.inbox <- ev:
	default:
	}
}

// Serve steps the machine until the context ends.
func (o *Owner) Serve(ctx context.Context) error {
	beat := time.NewTicker(o.TickEvery)
	defer beat.Stop()
	for {
		var ev event.Event
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev = <-o.inbox:
		case <-beat.C:
			ev = event.Tick{}
		}
		for _, c := range o.Step(Now(), ev) {
			o.Do(c)
		}
	}
}
