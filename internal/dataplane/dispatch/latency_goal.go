package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
)

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

// maxQueueWait is how long a request may expect to wait in the queue, where its
// route names no goal.
const maxQueueWait = time.Second

// queueWaitLimit is how long a request may wait in the queue. A quarter of the goal
// leaves its client time for another try that is still worth most.
func (j *job) queueWaitLimit() time.Duration {
	if j.LatencyGoal == 0 || j.goalUnreachable {
		return maxQueueWait
	}
	return min(j.LatencyGoal/4, maxQueueWait)
}
