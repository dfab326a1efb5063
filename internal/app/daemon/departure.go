package daemon

import (
	"context"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/transport/process"
)

const (
	// httpStopGrace is how long a store's pages may finish what they began.
	httpStopGrace = 300 * time.Millisecond
	// stopSlack is how much longer than a store's own grace its process waits.
	stopSlack = 200 * time.Millisecond
)

// gracefulStop keeps a store's process serving after the polite signal until its
// machine says that it may stop.
type gracefulStop struct {
	// serving ends when the process is to end.
	serving context.Context
	end     context.CancelFunc
}

func newGracefulStop() *gracefulStop {
	serving, end := context.WithCancel(context.Background())
	return &gracefulStop{serving: serving, end: end}
}

// onSignal tells the machine of the signal, and bounds what is left of the run.
func (g *gracefulStop) onSignal(ctx context.Context, grace time.Duration, owner *process.Owner) {
	context.AfterFunc(ctx, func() {
		time.AfterFunc(grace+stopSlack, g.end)
		owner.Put(store.Leave{Within: grace})
	})
}

// interceptMayStop looks for the machine's word among what it wants done.
func (g *gracefulStop) interceptMayStop(do func(event.Command)) func(event.Command) {
	return func(c event.Command) {
		if _, ok := c.(store.MayStop); ok {
			g.end()
			return
		}
		do(c)
	}
}
