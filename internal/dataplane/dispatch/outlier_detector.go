package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// outlierDetector ejects a target with a high failure rate, for longer each time, regardless of
// the health that the target reports. An ejected target is still used if no other is ready, so
// ejections never reduce the capacity of a service.
type outlierDetector struct {
	// failureRate is an exponential moving average of the results, from 0 to 1.
	failureRate float64
	// samples is the number of results since the start or the last ejection.
	samples int
	ejections
}

// ejections is the state of consecutive ejections, without a recovery between them.
type ejections struct {
	ejectionCount int
	ejectedUntil  ids.Time
}

const (
	// failureRateWeight is the weight of the newest result in the failure rate.
	failureRateWeight = 0.15
	// ejectionThreshold is the failure rate at which a target is ejected, after at least
	// minEjectionSamples results.
	ejectionThreshold  = 0.25
	minEjectionSamples = 4
	// recoverySamples is the number of results since the last ejection after which a target
	// whose failure rate is below recoveryThreshold has recovered, which resets its ejection
	// count.
	recoverySamples   = 20
	recoveryThreshold = ejectionThreshold / 4
	// baseEjectionTime is the duration of the first ejection. It doubles with each further
	// one, up to maxEjectionDoublings times.
	baseEjectionTime     = 2 * time.Second
	maxEjectionDoublings = 3
)

// record adds the result of an attempt. It returns the end of the ejection if it ejects the
// target, otherwise 0.
func (o *outlierDetector) record(now ids.Time, failed bool) ids.Time {
	sample := 0.0
	if failed {
		sample = 1
	}
	o.failureRate += failureRateWeight * (sample - o.failureRate)
	o.samples++
	if !failed {
		if o.samples >= recoverySamples && o.failureRate < recoveryThreshold {
			o.ejectionCount = 0
		}
		return 0
	}
	if o.samples < minEjectionSamples || o.failureRate < ejectionThreshold || now < o.ejectedUntil {
		return 0
	}
	o.ejectedUntil = now.Add(baseEjectionTime << min(o.ejectionCount, maxEjectionDoublings))
	o.ejectionCount++
	// Results from before the ejection no longer count.
	o.failureRate, o.samples = 0, 0
	return o.ejectedUntil
}
