package proxy

import "dunlinwell/internal/base/event"

// Log events of this package, with their fields.
const (
	// logConfigurationAdopted (revision): a newer configuration is in use.
	logConfigurationAdopted event.LogEvent = "configuration_adopted"
	// logProcessResumed (gap_ms): the process was frozen; it doesn't serve until a
	// registry has confirmed its state again.
	logProcessResumed event.LogEvent = "process_resumed"
	// logServingStateChanged (ready, cut_off): readiness or being cut off changed.
	logServingStateChanged event.LogEvent = "serving_state_changed"
	// logServingUnconfirmed (revision, confirmed_ms_ago): the proxy began to serve
	// though no majority could confirm its configuration.
	logServingUnconfirmed event.LogEvent = "serving_unconfirmed"
	// logMessagesDelayed (delay_ms, configuration_age_ms): messages wait here for long.
	logMessagesDelayed event.LogEvent = "messages_delayed"
	// logRequestsForwarded (service, same_zone, same_region, cross_region, retried,
	// client_left): totals since the start of where requests were forwarded to, and of
	// clients that went away before their response.
	logRequestsForwarded event.LogEvent = "requests_forwarded"
	// logRequestsFailed (service, reason, count): requests that got no response from a
	// target since the last such entry, by reason.
	logRequestsFailed event.LogEvent = "requests_failed"
	// logStopping: the stop signal arrived; requests in flight go on.
	logStopping event.LogEvent = "stopping"
	// logStopped: listeners are closed and the process is about to exit.
	logStopped event.LogEvent = "stopped"
)
