package registry

import "dunlinwell/internal/base/event"

// The log events of a registry.
const (
	// logProcessResumed: this process was paused for gap_ms.
	logProcessResumed event.LogEvent = "process_resumed"

	// logConfigurationAdopted: this registry uses a newer configuration.
	logConfigurationAdopted event.LogEvent = "configuration_adopted"
	// logConfigurationUnreadable: the stores returned a configuration that this version
	// can't decode.
	logConfigurationUnreadable event.LogEvent = "configuration_unreadable"
	// logItemVersionReused: a merge had different content for an existing item version.
	logItemVersionReused event.LogEvent = "item_version_reused"

	// logTargetHeartbeatTimeout: a target's heartbeats have stopped.
	logTargetHeartbeatTimeout event.LogEvent = "target_heartbeat_timeout"
	// logDepartureUnconfirmed: a target's departure was acknowledged although "proxies" of this
	// registry, or proxies of other "registries", had not applied it.
	logDepartureUnconfirmed event.LogEvent = "departure_unconfirmed"
	// logTargetWithdrawn: a target accepts no new requests: it is draining or, if gone is
	// set, dead.
	logTargetWithdrawn event.LogEvent = "target_withdrawn"

	// logLeadershipAcquired: this registry was elected.
	logLeadershipAcquired event.LogEvent = "leadership_acquired"
	// logLeadershipLost: another registry was elected under a higher epoch.
	logLeadershipLost event.LogEvent = "leadership_lost"
	// logLeadershipResigned: this registry is stopping, has lost the control lease, or a
	// registry that precedes it in the membership list is ready.
	logLeadershipResigned event.LogEvent = "leadership_resigned"
	// logCampaignFailed: the bid for the leadership could not be encoded.
	logCampaignFailed event.LogEvent = "campaign_failed"

	// logSpillPlanMade: this registry, the planner, has made a plan.
	logSpillPlanMade event.LogEvent = "spill_plan_made"
	// logSpillTableAdopted: this registry has received a newer plan.
	logSpillTableAdopted event.LogEvent = "spill_table_adopted"
)
