package process

import (
	"context"
	"net"
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// A peer that refuses may be about to start, as all do after a loss of the
	// whole fleet, and what hangs on it is a chain of several such dials.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 200 * time.Millisecond
	// A machine without power says nothing, and the system asks again only after
	// a second. One that gets its power back meanwhile is found by a new dial, so
	// the first ones are given up early; later ones bear a slow link.
	initialDialTimeout = 300 * time.Millisecond
	dialTimeout        = time.Second
)

// dialFunc opens a connection to a peer.
type dialFunc func(ctx context.Context, to ids.Address) (net.Conn, error)

// dialBackoff is how patiently a peer is dialled: longer after each dial that failed.
type dialBackoff struct{ timeout, delay time.Duration }

func newDialBackoff() dialBackoff {
	return dialBackoff{timeout: initialDialTimeout, delay: minRedialDelay}
}

// dial tries once, and sets how long the next try may take and how long to rest
// before it.
func (b *dialBackoff) dial(ctx context.Context, to ids.Address, open dialFunc) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	c, err := open(ctx, to)
	if err == nil {
		*b = newDialBackoff()
		return c, nil
	}
	b.timeout = min(2*b.timeout, dialTimeout)
	b.delay = min(2*b.delay, maxRedialDelay)
	return nil, err
}
