package daemon

import (
	"context"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/transport/process"
)

const (
	// leavePages is how long a store's pages may finish what they began.
	leavePages = 300 * time.Millisecond
	// leaveSlack is how much longer than a store's own grace its process waits.
	leaveSlack = 200 * time.Millisecond
)

// departure keeps a store's process serving after the polite signal until its
// machine says that it may stop.
type departure struct {
	// serving ends when the process is to end.
	serving context.Context
	end     context.CancelFunc
}

func newDeparture() *departure {
	serving, end := context.WithCancel(context.Background())
	return &departure{serving: serving, end: end}
}

// onSignal tells the machine of the signal, and bounds what is left of the run.
func (d *departure) onSignal(ctx context.Context, grace time.Duration, owner *process.Owner) {
	context.AfterFunc(ctx, func() {
		time.AfterFunc(grace+leaveSlack, d.end)
		owner.Put(store.Leave{Within: grace})
	})
}

// watch looks for the machine's word among what it wants done.
func (d *departure) watch(do func(event.Command)) func(event.Command) {
	return func(c event.Command) {
		if _, ok := c.(store.MayStop); ok {
			d.end()
			return
		}
		do(c)
	}
}
