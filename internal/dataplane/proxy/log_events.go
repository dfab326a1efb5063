package proxy

import "dunlinwell/internal/base/event"

// Log events of this package, with their fields.
const (
	// logConfigurationAdopted (revision): the proxy switched to a newer configuration.
	logConfigurationAdopted event.LogEvent = "configuration_adopted"
	// logProcessResumed (gap_ms): the process was paused. With a limited lease it doesn't
	// serve until its state is confirmed again.
	logProcessResumed event.LogEvent = "process_resumed"
	// logServingStateChanged (ready, cut_off): ServingState.Ready or CutOff changed.
	logServingStateChanged event.LogEvent = "serving_state_changed"
	// logServingUnconfirmed (revision, confirmed_ms_ago): the proxy started serving without
	// a recent confirmation of its configuration.
	logServingUnconfirmed event.LogEvent = "serving_unconfirmed"
	// logMessagesDelayed (delay_ms, configuration_age_ms): the delay between the arrival of
	// a message and its processing reached messageDelayLogThreshold.
	logMessagesDelayed event.LogEvent = "messages_delayed"
	// logRequestsForwarded (service, same_zone, same_region, cross_region, retried,
	// client_left): totals since the start of forwarded requests by distance, of retries,
	// and of clients that disconnected before their response.
	logRequestsForwarded event.LogEvent = "requests_forwarded"
	// logRequestsFailed (service, reason, count): the number of requests without a target's
	// response since the last entry, by reason.
	logRequestsFailed event.LogEvent = "requests_failed"
	// logAttemptFinished (request, sequence, target, connection, reused, stale_responses,
	// result, reason): a request, or a part of it, was sent to a target, and the attempt ended.
	// connection is the local address, so that attempts on one connection can be recognized.
	logAttemptFinished event.LogEvent = "attempt_finished"
	// logStopping: the graceful shutdown started; requests in flight continue.
	logStopping event.LogEvent = "stopping"
	// logStopped: listeners are closed and the process is about to exit.
	logStopped event.LogEvent = "stopped"
)
