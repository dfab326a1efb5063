// Package ticket holds the small types that every slice hands around: ids,
// versions and times. They are types of their own so that none can be taken
// for another.
package ids

import (
	"fmt"
	"time"
)

// Name names something an operator made: a service, a route or a zone.
type Name string

// DaemonID names one process of ours; it stays the same over restarts.
type DaemonID string

// InstanceID names one target process, as it announces itself.
type InstanceID string

// Address is an IP number and port.
type Address string

// Mark is the client's own mark on an unrepeatable request.
type IdempotencyKey string

// ChangeID names a change an operator sent, so that a resent one is known.
type ChangeID string

// RegisterKey names a register.
type RegisterKey string

// Start names one run of a process. It is never the same twice.
type RunID uint64

// Incarnation grows when a process restarts or refutes a suspicion.
type Incarnation uint64

// Sequence orders what one incarnation says.
type Sequence uint64

// StreamNumber counts the pushes down one connection.
type StreamNumber uint64

// Revision counts the accepted changes of the whole configuration.
type Revision uint64

// Epoch grows each time a duty changes hands.
type Epoch uint64

// RequestID names one request within one run of one proxy.
type RequestID uint64

// Tick is a point on the process's own monotonic clock, in nanoseconds.
// Wall clocks jump, so they appear in logs alone.
type Time int64

// Add gives the tick a span later.
func (t Time) Add(duration time.Duration) Time { return t + Time(duration) }

// Sub gives the span from an earlier tick to this one.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }

// Ballot orders the rounds on a register. By names one run of one proposer,
// so a restarted proposer can't use a ballot twice for two values.
type Ballot struct {
	Counter  uint64
	Proposer uint64
}

// Less tells whether b is before c.
func (b Ballot) Less(other Ballot) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	return b.Proposer < other.Proposer
}

// IsZero tells whether the ballot is none at all.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// String writes a ballot as COUNT.BY, BY in hexadecimal.
func (b Ballot) String() string { return fmt.Sprintf("%d.%x", b.Counter, b.Proposer) }
