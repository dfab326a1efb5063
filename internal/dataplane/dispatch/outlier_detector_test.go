package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func TestOutlierDetector_EjectsByFailureRate(t *testing.T) {
	is := is.New(t)
	at := func(ms int) ids.Time { return ids.Time(time.Duration(ms)*time.Millisecond) + 1 }
	// Good ones and a stray failure: used on.
	o := &outlierDetector{}
	for i := range 50 {
		is.Equal(o.record(at(i*10), i == 20), ids.Time(0))
	}
	// Half of them fail: left alone after a few, for longer each time.
	o = &outlierDetector{}
	var until []ids.Time
	now := 0
	for i := range 200 {
		now += 10
		if u := o.record(at(now), i%2 == 0); u > 0 {
			until = append(until, u-at(now))
			now += int(time.Duration(u-at(now)) / time.Millisecond)
		}
	}
	is.True(len(until) >= 5)
	is.Equal(time.Duration(until[0]), 2*time.Second)
	is.Equal(time.Duration(until[1]), 4*time.Second)
	is.Equal(time.Duration(until[len(until)-1]), 16*time.Second)
	// Well again: the next trouble begins with a short spell.
	for range 40 {
		now += 10
		o.record(at(now), false)
	}
	for o.record(at(now), true) == 0 {
		now += 10
	}
	is.Equal(o.ejectionCount, 1)
}

// A target that is left alone is still used where there is no other.
func TestOutlierDetector_KeepsTargetUsable(t *testing.T) {
	is := is.New(t)
	s := &endpoint{}
	for range 20 {
		s.recordResult(1, AttemptFinished{Result: TargetFailed})
	}
	is.True(s.cooldownUntil > 1)
	is.True(!s.removed && s.Usable())
}
