package proxy

import "context"

// attemptContexts are the contexts of a request's attempts at targets. One pair serves all
// attempts of a request, since none follows one that was canceled.
type attemptContexts struct {
	// running ends an attempt at any time: its connection is closed.
	running context.Context
	// unsent ends an attempt before its first byte. It ends with running.
	unsent               context.Context
	cancel, cancelUnsent context.CancelFunc
}

// newAttemptContexts returns contexts that don't depend on the client's: the dispatcher
// decides what its departure means.
func newAttemptContexts() attemptContexts {
	var c attemptContexts
	c.running, c.cancel = context.WithCancel(context.Background())
	c.unsent, c.cancelUnsent = context.WithCancel(c.running)
	return c
}
