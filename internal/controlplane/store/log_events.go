package store

import "dunlinwell/internal/base/event"

// The log events of a store.
const (
	// eventDiskStalled and eventDiskRecovered: syncs take longer than diskStallTimeout,
	// and no longer do.
	eventDiskStalled   event.LogEvent = "disk_stalled"
	eventDiskRecovered event.LogEvent = "disk_recovered"
	// eventVoterSetAdopted: this store has adopted a newer voter set.
	eventVoterSetAdopted event.LogEvent = "voter_set_adopted"
	// eventBootstrapWaiting: this blank store proposes no first voter set, and why.
	eventBootstrapWaiting event.LogEvent = "bootstrap_waiting"
	// eventBootstrapRejected: a seed has rejected this store's proposal.
	eventBootstrapRejected event.LogEvent = "bootstrap_rejected"
	// eventBootstrapCompleted: this store has formed the first voter set.
	eventBootstrapCompleted event.LogEvent = "bootstrap_completed"
	// eventCopyCompleted: this store has copied all registers and may vote.
	eventCopyCompleted event.LogEvent = "copy_completed"
	// eventDepartureWaiting: this store is to end, and is still needed.
	eventDepartureWaiting event.LogEvent = "departure_waiting"
	// eventDepartureEnded: this store's process may end.
	eventDepartureEnded event.LogEvent = "departure_ended"
	// eventRecoveryRejected and eventRecoveryStarted answer an operator's request.
	eventRecoveryRejected event.LogEvent = "recovery_rejected"
	eventRecoveryStarted  event.LogEvent = "recovery_started"
	// eventConfigurationRestored: a recovery has taken over a proxy's newer
	// configuration.
	eventConfigurationRestored event.LogEvent = "configuration_restored"
	// eventTotalLossRecovered: a recovery has formed a new first voter set.
	eventTotalLossRecovered event.LogEvent = "total_loss_recovered"
)
