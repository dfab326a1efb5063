package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// longestTimeoutDecay is the inverse of the rate at which the longest timeout of a route's
// clients decays with each request. The decay is slow because after an outage most arriving
// requests have already spent time elsewhere.
const longestTimeoutDecay = 1024

// checkGoalReachable sets whether a job can still meet its latency goal. A request that was
// lost or rejected elsewhere arrives with less time left than the longest timeout of its
// route's clients; the difference counts as time already spent. Jobs that can no longer meet
// their goal are queued behind those that can.
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

// goalRank returns the rank in the queue: jobs that can meet their latency goal come first.
func goalRank(j *job) int {
	if j.goalUnreachable {
		return 1
	}
	return 0
}

const (
	// maxQueueWait limits a job's time in the queue even if its latency goal allows more.
	maxQueueWait = time.Second
	// queueWaitGoalDivisor divides a latency goal to get the queue wait limit, which leaves
	// the client time for another attempt within the goal.
	queueWaitGoalDivisor = 4
)

// queueWaitLimit returns how long a job may wait in the queue.
func (j *job) queueWaitLimit() time.Duration {
	if j.LatencyGoal == 0 || j.goalUnreachable {
		return maxQueueWait
	}
	return min(j.LatencyGoal/queueWaitGoalDivisor, maxQueueWait)
}
