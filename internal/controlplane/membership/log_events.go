package membership

import "dunlinwell/internal/base/event"

// Log events of this package.
const (
	// EventMemberDeclaredDead says that this registry declared a member dead.
	EventMemberDeclaredDead event.LogEvent = "member_declared_dead"
	// EventDeathRefuted says that this daemon raised its incarnation, as others held it
	// for dead or knew an earlier run of it.
	EventDeathRefuted event.LogEvent = "death_refuted"
)
