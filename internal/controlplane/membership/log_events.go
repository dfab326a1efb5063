package membership

import "dunlinwell/internal/base/event"

// Log events of this package.
const (
	// EventMemberDeclaredDead is logged when this registry declares a member dead.
	EventMemberDeclaredDead event.LogEvent = "member_declared_dead"
	// EventDeathRefuted is logged when this daemon raises its incarnation because another member
	// has it as dead or knows another run of it.
	EventDeathRefuted event.LogEvent = "death_refuted"
)
