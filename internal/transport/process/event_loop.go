package process

import (
	"context"
	"time"

	"dunlinwell/internal/base/event"
)

// eventQueueLength is the capacity of the event queue. If it is full, Offer drops the event
// and Put blocks.
const eventQueueLength = 4096

// EventLoop runs a state machine. It passes queued events and periodic ticks to the state
// machine and executes the commands that it returns.
type EventLoop struct {
	event.StateMachine
	// Execute executes one command. It must not block on the event loop, as Put may.
	Execute func(event.Command)
	// TickInterval is the interval between two event.Tick.
	TickInterval time.Duration
	queue        chan event.Event
}

// NewEventLoop returns an event loop for a state machine. Serve runs it.
func NewEventLoop(machine event.StateMachine, tickInterval time.Duration, execute func(event.Command)) *EventLoop {
	return &EventLoop{StateMachine: machine, Execute: execute, TickInterval: tickInterval, queue: make(chan event.Event, eventQueueLength)}
}

// Put queues an event. It blocks while the queue is full.
func (l *EventLoop) Put(ev event.Event) { l.queue <- ev }

// Offer queues an event, or drops it if the queue is full. It is meant for messages from
// peers, which may be lost and must not block the connections.
func (l *EventLoop) Offer(ev event.Event) {
	select {
	case l.queue <- ev:
	default:
	}
}

// Serve runs the event loop until the context is done.
func (l *EventLoop) Serve(ctx context.Context) error {
	ticker := time.NewTicker(l.TickInterval)
	defer ticker.Stop()
	for {
		var ev event.Event
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev = <-l.queue:
		case <-ticker.C:
			ev = event.Tick{}
		}
		for _, command := range l.Step(Now(), ev) {
			l.Execute(command)
		}
	}
}
