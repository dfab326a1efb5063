package daemon

import (
	"context"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/transport/process"
)

// stopSlack is the time beyond the grace period for which the process waits for the store's
// state machine, so that the state machine's own timer expires first.
const stopSlack = 200 * time.Millisecond

// gracefulStop keeps a store serving after SIGTERM until its state machine allows it to
// stop: the store may have to be replaced in the voter set first.
type gracefulStop struct {
	// serving is done when the process can stop.
	serving context.Context
	end     context.CancelFunc
}

func newGracefulStop() *gracefulStop {
	serving, end := context.WithCancel(context.Background())
	return &gracefulStop{serving: serving, end: end}
}

// onSignal makes the store leave when the context is done, and ends serving after the grace
// period at the latest.
func (g *gracefulStop) onSignal(ctx context.Context, grace time.Duration, loop *process.EventLoop) {
	context.AfterFunc(ctx, func() {
		time.AfterFunc(grace+stopSlack, g.end)
		loop.Put(store.Leave{GracePeriod: grace})
	})
}

// interceptMayStop returns a function that ends serving on the command store.MayStop and
// executes every other command.
func (g *gracefulStop) interceptMayStop(execute func(event.Command)) func(event.Command) {
	return func(c event.Command) {
		if _, ok := c.(store.MayStop); ok {
			g.end()
			return
		}
		execute(c)
	}
}
