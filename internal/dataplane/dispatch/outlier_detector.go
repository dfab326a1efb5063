package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// outlierDetector judges a target by what requests showed, not by what its page says:
// one that fails a part of them is left alone, for longer each time, while
// there are others. It is left alone and no more, so that however many fail,
// what a service still bears is used.
type outlierDetector struct {
	failureRate float64
	samples     int
	ejections
}

// ejections count how often in a row the target was left alone.
type ejections struct {
	ejectionCount int
	ejectedUntil  ids.Time
}

const (
	// failureRateWeight is how much the newest answer counts for.
	failureRateWeight = 0.15
	// ejectionThreshold is the share of failures from which a target is left alone, once
	// there were a few answers.
	ejectionThreshold  = 0.25
	minEjectionSamples = 4
	// recoverySamples are enough to take a target for well again.
	recoverySamples = 20
	// baseEjectionTime is how long it is left alone at first; spellMost bounds the doubling.
	baseEjectionTime     = 2 * time.Second
	maxEjectionDoublings = 3
)

// record notes an answer and gives until when the target is left alone.
func (o *outlierDetector) record(now ids.Time, failed bool) ids.Time {
	sample := 0.0
	if failed {
		sample = 1
	}
	o.failureRate += failureRateWeight * (sample - o.failureRate)
	o.samples++
	if o.samples < minEjectionSamples || o.failureRate < ejectionThreshold || !failed || now < o.ejectedUntil {
		if !failed && o.samples >= recoverySamples && o.failureRate < ejectionThreshold/4 {
			o.ejectionCount = 0
		}
		return 0
	}
	o.ejectedUntil = now.Add(baseEjectionTime << min(o.ejectionCount, maxEjectionDoublings))
	o.ejectionCount++
	// What it does next is judged anew.
	o.failureRate, o.samples = 0, 0
	return o.ejectedUntil
}
