package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func TestOutlierGoesByWhatRequestsShowed(t *testing.T) {
	is := is.New(t)
	at := func(ms int) ids.Time { return ids.Time(time.Duration(ms)*time.Millisecond) + 1 }
	// Good ones and a stray failure: used on.
	o := &outlier{}
	for i := range 50 {
		is.Equal(o.seen(at(i*10), i == 20), ids.Time(0))
	}
	// Half of them fail: left alone after a few, for longer each time.
	o = &outlier{}
	var until []ids.Time
	now := 0
	for i := range 200 {
		now += 10
		if u := o.seen(at(now), i%2 == 0); u > 0 {
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
		o.seen(at(now), false)
	}
	for o.seen(at(now), true) == 0 {
		now += 10
	}
	is.Equal(o.in, 1)
}

// A target that is left alone is still used where there is no other.
func TestOutlierNeverTakesTheLast(t *testing.T) {
	is := is.New(t)
	s := &spot{}
	for range 20 {
		s.came(1, Back{How: Failed})
	}
	is.True(s.rest > 1)
	is.True(!s.out && s.Usable())
}
