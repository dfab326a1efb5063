package ids

import "time"

// Time is a point on the process's own monotonic clock, in nanoseconds. Zero stands
// for "never" in the state machines.
type Time int64

// Add gives the time that is a duration later.
func (t Time) Add(duration time.Duration) Time { return t + Time(duration) }

// Sub gives the duration from an earlier time to this one.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }
