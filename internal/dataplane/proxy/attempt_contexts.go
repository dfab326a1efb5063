package proxy

import "context"

// attemptContexts holds the contexts of a request's attempts at targets. All attempts of a
// request share one pair, since no attempt follows a canceled one.
type attemptContexts struct {
	// running cancels an attempt at any time by closing its connection.
	running context.Context
	// unsent cancels an attempt only before its first byte is sent. It is a child of running.
	unsent               context.Context
	cancel, cancelUnsent context.CancelFunc
}

// newAttemptContexts returns contexts that are independent of the client's context: the
// dispatcher decides whether a client disconnect cancels an attempt.
func newAttemptContexts() attemptContexts {
	var c attemptContexts
	c.running, c.cancel = context.WithCancel(context.Background())
	c.unsent, c.cancelUnsent = context.WithCancel(c.running)
	return c
}
