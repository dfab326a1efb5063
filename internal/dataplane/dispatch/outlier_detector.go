package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// outlierDetector ejects a target that fails a part of its requests, for longer each
// time, whatever the target reports of itself. An ejected target is avoided while there
// are others and used where there is none, so that all capacity that a service still has
// is used, however many of its targets fail.
type outlierDetector struct {
	// failureRate is a moving average of the last responses, from 0 to 1.
	failureRate float64
	// samples counts the results recorded since the start or the last ejection.
	samples int
	ejections
}

// ejections are the ejections in a row without a recovery between them.
type ejections struct {
	ejectionCount int
	ejectedUntil  ids.Time
}

const (
	// failureRateWeight is the weight of the newest response in the failure rate.
	failureRateWeight = 0.15
	// ejectionThreshold is the failure rate from which a target is ejected, once there
	// were minEjectionSamples responses. With failureRateWeight, two failures among
	// three responses reach it from a rate of 0, and two among four don't.
	ejectionThreshold  = 0.25
	minEjectionSamples = 4
	// recoverySamples is how many responses with a failure rate under recoveryThreshold
	// end the count of ejections.
	recoverySamples   = 20
	recoveryThreshold = ejectionThreshold / 4
	// baseEjectionTime is the length of the first ejection. Each further one doubles it,
	// up to maxEjectionDoublings times.
	baseEjectionTime     = 2 * time.Second
	maxEjectionDoublings = 3
)

// record counts the result of an attempt: a response, or a failure to get one. If it
// ejects the target it returns until when, and else 0.
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
	// After the ejection the target is judged anew.
	o.failureRate, o.samples = 0, 0
	return o.ejectedUntil
}
