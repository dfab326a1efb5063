package store

import "dunlinwell/internal/base/event"

// The log events of a store.
const (
	// logDiskStalled and logDiskRecovered: a sync has taken longer than diskStallTimeout,
	// and the stall has ended.
	logDiskStalled   event.LogEvent = "disk_stalled"
	logDiskRecovered event.LogEvent = "disk_recovered"
	// logVoterSetAdopted: this store has adopted a newer voter set.
	logVoterSetAdopted event.LogEvent = "voter_set_adopted"
	// logBootstrapWaiting: this blank store does not propose an initial voter set; the
	// reason is given.
	logBootstrapWaiting event.LogEvent = "bootstrap_waiting"
	// logBootstrapRejected: a seed has rejected this store's proposal.
	logBootstrapRejected event.LogEvent = "bootstrap_rejected"
	// logBootstrapCompleted: this store has formed the initial voter set.
	logBootstrapCompleted event.LogEvent = "bootstrap_completed"
	// logCopyCompleted: this store has copied all registers and may vote.
	logCopyCompleted event.LogEvent = "copy_completed"
	// logDepartureWaiting: this store was told to stop, and is still needed.
	logDepartureWaiting event.LogEvent = "departure_waiting"
	// logDepartureEnded: this store's process may exit.
	logDepartureEnded event.LogEvent = "departure_ended"
	// logRecoveryRejected and logRecoveryStarted: an operator's request to recover was
	// rejected or accepted.
	logRecoveryRejected event.LogEvent = "recovery_rejected"
	logRecoveryStarted  event.LogEvent = "recovery_started"
	// logConfigurationRestored: a recovery has adopted a proxy's newer configuration.
	logConfigurationRestored event.LogEvent = "configuration_restored"
	// logTotalLossRecovered: a recovery has formed a new initial voter set.
	logTotalLossRecovered event.LogEvent = "total_loss_recovered"
)
