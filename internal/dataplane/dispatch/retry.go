package dispatch

import "dunlinwell/internal/base/ids"

const (
	// defaultMaxAttempts bounds the failed attempts of jobs that name no MaxAttempts.
	defaultMaxAttempts = 3
	// maxUnsentAttempts is how many failed attempts a job may have for an attempt that
	// was not sent to be made up for; with one more it is rejected as unreachable.
	maxUnsentAttempts = 3
)

// attemptsExhausted tells whether a job was tried as often as it may be. A MaxAttempts
// counts attempts of which bytes left; the default counts failed ones, sent or not.
func (d *Dispatcher) attemptsExhausted(j *job) bool {
	if j.MaxAttempts > 0 {
		return j.timesSent >= j.MaxAttempts
	}
	return j.failedAttempts >= defaultMaxAttempts
}

// takeRetry counts a failed attempt, and tells whether the job may be sent again: if its
// attempts, its time left and the retry budget allow it. The retry is then paid for.
func (d *Dispatcher) takeRetry(now ids.Time, j *job) bool {
	j.failedAttempts++
	if j.clientDisconnected || d.attemptsExhausted(j) || now.Add(d.meanResponseTime) >= j.Deadline || !d.retryBudget.withdraw() {
		return false
	}
	d.Counters.Retried++
	return true
}

// onUnsentAttemptFinished goes on with a job of which no byte left: another target may have
// it, and no retry is spent. It returns false if it rejected the job as unreachable.
func (d *Dispatcher) onUnsentAttemptFinished(now ids.Time, j *job, result AttemptFinished) bool {
	j.timesSent--
	j.failedAttempts++
	if j.failedAttempts > maxUnsentAttempts {
		d.reject(now, j, reasonUnreachable+": "+result.Reason)
		return false
	}
	d.admit(now, j)
	return true
}

// onNotExecutedAttempt goes on with a job that a target hasn't run: to another target, as a
// retry, or back to its client. A job under a claim spends no retry, and is bounded by its
// deadline alone.
func (d *Dispatcher) onNotExecutedAttempt(now ids.Time, j *job, result AttemptFinished) {
	// A claim stands for any target, and the next slot is asked for under it.
	if !j.requiresIdempotencyKey() && !d.takeRetry(now, j) {
		d.reject(now, j, reasonNotExecuted+": "+result.Reason)
		return
	}
	d.admit(now, j)
}

// retry sends a repeatable request again if it may be, and else answers it.
func (d *Dispatcher) retry(now ids.Time, j *job, result AttemptFinished) {
	switch {
	case d.takeRetry(now, j):
		d.admit(now, j)
	case result.Result == TargetFailed:
		// The target's failure is still its response.
		d.respondAnswered(now, j, result.Response)
	case j.clientDisconnected:
		d.respondUnknown(now, j, unknownStatus(now, j), reasonClientDisconnected)
	default:
		d.respondUnknown(now, j, unknownStatus(now, j), reasonRetriesEnded+": "+result.Reason)
	}
}
