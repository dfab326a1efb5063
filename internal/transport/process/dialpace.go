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
	leastRest = 50 * time.Millisecond
	mostRest  = 200 * time.Millisecond
	// A machine without power says nothing, and the system asks again only after
	// a second. One that gets its power back meanwhile is found by a new dial, so
	// the first ones are given up early; later ones bear a slow link.
	firstDial  = 300 * time.Millisecond
	dialWithin = time.Second
)

// dialFunc opens a connection to a peer.
type dialFunc func(ctx context.Context, to ids.Address) (net.Conn, error)

// dialPace is how patiently a peer is dialled: longer after each dial that failed.
type dialPace struct{ within, rest time.Duration }

func newDialPace() dialPace { return dialPace{within: firstDial, rest: leastRest} }

// dial tries once, and sets how long the next try may take and how long to rest
// before it.
func (p *dialPace) dial(ctx context.Context, to ids.Address, open dialFunc) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.within)
	defer cancel()
	c, err := open(ctx, to)
	if err == nil {
		*p = newDialPace()
		return c, nil
	}
	p.within = min(2*p.within, dialWithin)
	p.rest = min(2*p.rest, mostRest)
	return nil, err
}
