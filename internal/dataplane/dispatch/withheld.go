package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// Lease tells until when requests may leave by what is known now.
type Lease struct{ Until ids.Time }

// Terms are what a route says of its requests. A request taken by others than
// those in force by now doesn't leave.
type Terms struct {
	Host       string
	Prefix     string
	Service    ids.Name
	Repeatable bool
	Limit      time.Duration
}

// pauseOver is how long a gap in clock events counts as a freeze.
const pauseOver = time.Second

// paused tells whether this process slept, or isn't in step: nothing leaves.
func (d *Dispatcher) paused(now ids.Time) bool {
	return !d.stock.InStep || (d.last != 0 && now.Since(d.last) > pauseOver)
}

// withheld tells why nothing of a job may leave just now, if so. It is asked
// again at each step of its way, as all of this may change while it waits.
func (d *Dispatcher) withheld(now ids.Time, j *job) string {
	switch {
	case d.paused(now):
		return "this proxy is not in step"
	// By what nobody has confirmed of late the cell may long be emptied, the
	// route gone, or the target another's.
	case now >= d.lease:
		return "no majority has confirmed of late what this proxy goes by"
	case d.stock.Closed:
		return "this cell is emptied; ask where to go"
	case d.stock.Terms[j.Route] != j.Terms:
		return "its route was changed meanwhile"
	}
	return ""
}
