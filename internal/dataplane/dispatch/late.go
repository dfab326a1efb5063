package dispatch

import "dunlinwell/internal/base/ids"

// longestTimeoutDecay is how fast the longest time that a route's clients give is
// forgotten: slowly, as after an outage most that come have waited already.
const longestTimeoutDecay = 1024

// checkGoalReachable tells a job that comes again after others were lost or rejected: it has
// less time left than its route's clients give at first. Where that leaves
// its goal out of reach, a wait costs it nothing, and those that can still meet
// theirs go before it.
func (d *Dispatcher) checkGoalReachable(now ids.Time, j *job) {
	if j.LatencyGoal == 0 {
		return
	}
	timeLeft := j.Deadline.Sub(now)
	longest := d.longestTimeout[j.Route]
	longest = max(timeLeft, longest-(longest-timeLeft)/longestTimeoutDecay)
	d.longestTimeout[j.Route] = longest
	j.goalUnreachable = longest-timeLeft+d.meanResponseTime > j.LatencyGoal
}

func latenessRank(j *job) int {
	if j.goalUnreachable {
		return 1
	}
	return 0
}
