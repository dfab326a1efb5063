package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// timeAt returns the time a number of milliseconds after the start of a test.
func timeAt(millis int) ids.Time {
	return ids.Time(time.Duration(millis)*time.Millisecond) + 1
}

func TestOutlierDetector_IgnoresSingleFailure(t *testing.T) {
	is := is.New(t)
	detector := &outlierDetector{}
	for i := range 50 {
		is.Equal(detector.record(timeAt(i*10), i == 20), ids.Time(0))
	}
}

// A target with a failure rate of one half is ejected for longer each time. A recovery resets
// the ejection time.
func TestOutlierDetector_EjectsByFailureRate(t *testing.T) {
	is := is.New(t)
	detector := &outlierDetector{}
	var ejections []time.Duration
	millis := 0
	for i := range 200 {
		millis += 10
		now := timeAt(millis)
		if until := detector.record(now, i%2 == 0); until > 0 {
			ejections = append(ejections, until.Sub(now))
			millis += int(until.Sub(now) / time.Millisecond)
		}
	}
	is.True(len(ejections) >= 5)
	is.Equal(ejections[0], 2*time.Second)
	is.Equal(ejections[1], 4*time.Second)
	is.Equal(ejections[len(ejections)-1], 16*time.Second)
	for range 40 {
		millis += 10
		detector.record(timeAt(millis), false)
	}
	for detector.record(timeAt(millis), true) == 0 {
		millis += 10
	}
	is.Equal(detector.ejectionCount, 1)
}

// An ejected target must remain available, in case no other target is ready.
func TestOutlierDetector_KeepsTargetUsable(t *testing.T) {
	is := is.New(t)
	e := &endpoint{}
	for range 20 {
		e.recordResult(1, AttemptFinished{Result: TargetFailed})
	}
	is.True(e.cooldownUntil > 1)
	is.True(!e.removed && e.Usable())
}
