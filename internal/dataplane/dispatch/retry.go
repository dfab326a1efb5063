package dispatch

import "dunlinwell/internal/base/ids"

const (
	// defaultMaxAttempts is the maximum number of failed attempts of a job without MaxAttempts.
	defaultMaxAttempts = 3
	// maxUnsentAttempts is the maximum number of failed attempts after which a job is still
	// admitted again following an unsent one. Beyond it, the job is rejected as unreachable.
	maxUnsentAttempts = 3
)

// attemptsExhausted reports whether a job has used up its attempts. MaxAttempts limits the
// attempts of which bytes were sent, defaultMaxAttempts the failed ones, sent or not.
func (d *Dispatcher) attemptsExhausted(j *job) bool {
	if j.MaxAttempts > 0 {
		return j.sentAttempts >= j.MaxAttempts
	}
	return j.failedAttempts >= defaultMaxAttempts
}

// takeRetry counts a failed attempt and reports whether the job may be retried, given its
// attempts, its deadline and the retry budget. If so, it withdraws the retry from the budget.
func (d *Dispatcher) takeRetry(now ids.Time, j *job) bool {
	j.failedAttempts++
	if j.clientDisconnected || d.attemptsExhausted(j) || now.Add(d.meanResponseTime) >= j.Deadline || !d.retryBudget.withdraw() {
		return false
	}
	d.Counters.Retried++
	return true
}

// onUnsentAttemptFinished handles the end of an attempt of which no bytes were sent. The job is
// admitted again without using the retry budget, or rejected as unreachable, in which case
// onUnsentAttemptFinished returns false.
func (d *Dispatcher) onUnsentAttemptFinished(now ids.Time, j *job, result AttemptFinished) bool {
	j.sentAttempts--
	j.failedAttempts++
	if j.failedAttempts > maxUnsentAttempts {
		d.reject(now, j, reasonUnreachable+": "+result.Reason)
		return false
	}
	d.admit(now, j)
	return true
}

// onNotExecutedAttempt retries a job that a target hasn't run, or rejects it. A job with an
// idempotency key doesn't use the retry budget and is limited only by its deadline.
func (d *Dispatcher) onNotExecutedAttempt(now ids.Time, j *job, result AttemptFinished) {
	// A claim is valid for any target, so the job keeps it for its next slot.
	if !j.requiresIdempotencyKey() && !d.takeRetry(now, j) {
		d.reject(now, j, reasonNotExecuted+": "+result.Reason)
		return
	}
	d.admit(now, j)
}

// retry retries a repeatable request if allowed, and otherwise responds.
func (d *Dispatcher) retry(now ids.Time, j *job, result AttemptFinished) {
	switch {
	case d.takeRetry(now, j):
		d.admit(now, j)
	case result.Result == TargetFailed:
		// A response that reports a failure is still passed on.
		d.respondAnswered(now, j, result.Response)
	case j.clientDisconnected:
		d.respondUnknown(now, j, unknownStatus(now, j), reasonClientDisconnected)
	default:
		d.respondUnknown(now, j, unknownStatus(now, j), reasonRetriesExhausted+": "+result.Reason)
	}
}
