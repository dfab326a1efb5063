package daemon

import (
	"context"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/transport/process"
)

// stopSlack is how much longer than its grace period a store's process waits for the
// machine: the machine's own timer must come first.
const stopSlack = 200 * time.Millisecond

// gracefulStop keeps a store serving after SIGTERM until its machine may stop: it may
// have to hand its vote over first.
type gracefulStop struct {
	// serving ends when the process is to end.
	serving context.Context
	end     context.CancelFunc
}

func newGracefulStop() *gracefulStop {
	serving, end := context.WithCancel(context.Background())
	return &gracefulStop{serving: serving, end: end}
}

// onSignal asks the machine to leave once the context ends, and bounds how long that
// may take.
func (g *gracefulStop) onSignal(ctx context.Context, grace time.Duration, owner *process.EventLoop) {
	context.AfterFunc(ctx, func() {
		time.AfterFunc(grace+stopSlack, g.end)
		owner.Put(store.Leave{GracePeriod: grace})
	})
}

// interceptMayStop gives a function that ends serving at the machine's command
// store.MayStop, and executes every other command.
func (g *gracefulStop) interceptMayStop(execute func(event.Command)) func(event.Command) {
	return func(c event.Command) {
		if _, ok := c.(store.MayStop); ok {
			g.end()
			return
		}
		execute(c)
	}
}
