// Package ticket holds the small types that every slice hands around: ids,
// versions and times. They are types of their own so that none can be taken
// for another.
package ids

import (
	"fmt"
	"time"
)

// Name names something an operator made: a service, a route or a cell.
type Name string

// Daemon names one process of ours; it stays the same over restarts.
type Daemon string

// Instance names one target process, as it announces itself.
type Instance string

// Address is an IP number and port.
type Address string

// Mark is the consumer's own mark on an unrepeatable request.
type IdempotencyKey string

// Change names a change an operator sent, so that a resent one is known.
type Change string

// Key names a register.
type Key string

// Start names one run of a process. It is never the same twice.
type RunID uint64

// Incarnation grows when a process restarts or refutes a suspicion.
type Incarnation uint64

// Sequence orders what one incarnation says.
type Sequence uint64

// Number counts the pushes down one connection.
type Number uint64

// Revision counts the accepted changes of the whole policy.
type Revision uint64

// Epoch grows each time a duty changes hands.
type Epoch uint64

// Request names one request within one run of one proxy.
type Request uint64

// Tick is a point on the process's own monotonic clock, in nanoseconds.
// Wall clocks jump, so they appear in logs alone.
type Time int64

// Add gives the tick a span later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Since gives the span from an earlier tick to this one.
func (t Time) Since(u Time) time.Duration { return time.Duration(t - u) }

// Ballot orders the rounds on a register. By names one run of one proposer,
// so a restarted proposer can't use a ballot twice for two values.
type Ballot struct {
	Count uint64
	By    uint64
}

// Less tells whether b is before c.
func (b Ballot) Less(c Ballot) bool {
	if b.Count != c.Count {
		return b.Count < c.Count
	}
	return b.By < c.By
}

// Zero tells whether the ballot is none at all.
func (b Ballot) Zero() bool { return b == Ballot{} }

// String writes a ballot as COUNT.BY, BY in hexadecimal.
func (b Ballot) String() string { return fmt.Sprintf("%d.%x", b.Count, b.By) }
