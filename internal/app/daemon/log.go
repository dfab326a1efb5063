package daemon

import "dunlinwell/internal/base/event"

// The log events of a daemon's startup and shutdown.
const (
	LogStarted  event.LogEvent = "daemon_started"
	LogStopping event.LogEvent = "daemon_stopping"
	LogStopped  event.LogEvent = "daemon_stopped"
)

const (
	logSupervisor       event.LogEvent = "supervisor_event"
	logDiskFailed       event.LogEvent = "disk_failed"
	logDatabaseDamaged  event.LogEvent = "database_damaged"
	logDatabaseReplaced event.LogEvent = "database_replaced"
)
