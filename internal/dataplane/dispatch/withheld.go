package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// LeaseUpdated tells until when requests may leave by what is known now.
type LeaseUpdated struct{ ExpiresAt ids.Time }

// RouteTerms are what a route says of its requests. A request taken by others than
// those in force by now doesn't leave.
type RouteTerms struct {
	Host       string
	Prefix     string
	Service    ids.Name
	Repeatable bool
	TimeLimit  time.Duration
}

// pauseThreshold is how long a gap in clock events counts as a freeze.
const pauseThreshold = time.Second

// isPausedOrStale tells whether this process slept, or isn't in step: nothing leaves.
func (d *Dispatcher) isPausedOrStale(now ids.Time) bool {
	return !d.service.IsCurrent || (d.lastTickAt != 0 && now.Sub(d.lastTickAt) > pauseThreshold)
}

// blockedReason tells why nothing of a job may leave just now, if so. It is asked
// again at each step of its way, as all of this may change while it waits.
func (d *Dispatcher) blockedReason(now ids.Time, j *job) string {
	switch {
	case d.isPausedOrStale(now):
		return "this proxy is not in step"
	// By what nobody has confirmed of late the zone may long be emptied, the
	// route gone, or the target another's.
	case now >= d.leaseExpiresAt:
		return "no majority has confirmed of late what this proxy goes by"
	case d.service.OwnZoneDrained:
		return "this cell is emptied; ask where to go"
	case d.service.Terms[j.Route] != j.Terms:
		return "its route was changed meanwhile"
	}
	return ""
}
