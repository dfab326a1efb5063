package ids

import "time"

// Time is a reading of the process's monotonic clock, in nanoseconds. Zero means "never" in
// the state machines.
type Time int64

// Add returns t plus a duration.
func (t Time) Add(duration time.Duration) Time { return t + Time(duration) }

// Sub returns the duration from an earlier time to t.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }
