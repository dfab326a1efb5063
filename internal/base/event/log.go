package event

// Level is the severity of a log entry.
type Level string

// The levels of a log entry. An error needs an operator; a warning reports a failure
// that the program deals with; the rest is for reading afterwards.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// LogEvent names what a log entry is about, in snake case, such as lease_expired.
// Each package lists its own as constants; docs/operators.md says what to do
// about each.
type LogEvent string

// LogEntry asks for a line in the log.
type LogEntry struct {
	Level Level
	Event LogEvent
	// Fields holds keys and values in turn.
	Fields []string
}
