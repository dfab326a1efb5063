package event

// Level is the severity of a log entry.
type Level string

// Levels of log entries. Errors need action by an operator; warnings report failures that
// the program handles itself.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// LogEvent identifies the kind of a log entry, in snake case, such as lease_expired. Each
// package declares its own as constants; docs/operators.md describes them.
type LogEvent string

// LogEntry is the command to write a log entry.
type LogEntry struct {
	Level Level
	Event LogEvent
	// Fields holds alternating keys and values.
	Fields []string
}
