package dispatch

import "dunlinwell/internal/base/ids"

// wholeShare is how fast the longest time that a route's consumers give is
// forgotten: slowly, as after an outage most that come have waited already.
const wholeShare = 1024

// age tells a job that comes again after others were lost or declined: it has
// less time left than its route's consumers give at first. Where that leaves
// its goal out of reach, a wait costs it nothing, and those that can still meet
// theirs go before it.
func (d *Dispatcher) age(now ids.Time, j *job) {
	if j.Goal == 0 {
		return
	}
	left := j.Due.Since(now)
	whole := d.whole[j.Route]
	whole = max(left, whole-(whole-left)/wholeShare)
	d.whole[j.Route] = whole
	j.late = whole-left+d.mean > j.Goal
}

func late(j *job) int {
	if j.late {
		return 1
	}
	return 0
}
