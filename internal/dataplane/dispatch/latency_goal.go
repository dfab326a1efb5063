package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// longestTimeoutDecay is the divisor by which the longest time-out of a route's clients
// is forgotten with each request: slowly, as after an outage most requests that arrive
// have waited elsewhere already.
const longestTimeoutDecay = 1024

// checkGoalReachable notes whether a job can still meet its latency goal. One that comes
// again, after it was lost or rejected elsewhere, has less time left than its route's
// clients give at first. If that leaves its goal out of reach, more waiting costs it
// nothing, and jobs that can still meet theirs go before it.
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

// latenessRank orders jobs whose goal is in reach before the others.
func latenessRank(j *job) int {
	if j.goalUnreachable {
		return 1
	}
	return 0
}

const (
	// maxQueueWait bounds a job's time in the queue, also if its goal allows more.
	maxQueueWait = time.Second
	// queueWaitGoalDivisor gives a job a quarter of its goal in the queue, which leaves
	// its client time for another attempt within the goal.
	queueWaitGoalDivisor = 4
)

// queueWaitLimit returns how long a job may wait in the queue.
func (j *job) queueWaitLimit() time.Duration {
	if j.LatencyGoal == 0 || j.goalUnreachable {
		return maxQueueWait
	}
	return min(j.LatencyGoal/queueWaitGoalDivisor, maxQueueWait)
}
