package process

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/phuslu/log"

	"dunlinwell/internal/base/event"
)

// Log events of the transport.
const (
	logMessageDiscarded  event.LogEvent = "message_discarded"
	logMessageNotEncoded event.LogEvent = "message_not_encoded"
	logConnectionLost    event.LogEvent = "connection_lost"
	logTrafficSummary    event.LogEvent = "traffic_summary"
)

// Log writes log entries as lines of key=value pairs.
type Log struct{ log.Logger }

// NewLog returns a daemon's log, which writes to standard error. Entries below the level are
// omitted.
func NewLog(level, daemon string) *Log {
	return &Log{log.Logger{
		Level: log.ParseLevel(level), TimeField: "time", TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context: log.NewContext(nil).Str("daemon", daemon).Value(),
		Writer:  &log.ConsoleWriter{Writer: os.Stderr, Formatter: formatKeyValues},
	}}
}

// formatKeyValues writes a line of key=value pairs, with values quoted as needed.
func formatKeyValues(w io.Writer, a *log.FormatterArgs) (int, error) {
	var line strings.Builder
	fmt.Fprintf(&line, "time=%s level=%s event=%s", a.Time, a.Level, quoteValue(a.Message))
	for _, kv := range a.KeyValues {
		fmt.Fprintf(&line, " %s=%s", kv.Key, quoteValue(kv.Value))
	}
	line.WriteByte('\n')
	return io.WriteString(w, line.String())
}

func quoteValue(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\n\t") {
		return strconv.Quote(s)
	}
	return s
}

// Event logs an event. The fields are alternating keys and values.
func (l *Log) Event(level event.Level, name event.LogEvent, fields ...string) {
	entry := l.WithLevel(log.ParseLevel(string(level)))
	for i := 0; i+1 < len(fields); i += 2 {
		entry = entry.Str(fields[i], fields[i+1])
	}
	entry.Msg(string(name))
}

// Enabled reports whether entries of a level are written. It saves building the fields of entries
// that would be omitted.
func (l *Log) Enabled(level event.Level) bool { return log.ParseLevel(string(level)) >= l.Level }

// WriteEntry logs an entry emitted by a state machine.
func (l *Log) WriteEntry(entry event.LogEntry) { l.Event(entry.Level, entry.Event, entry.Fields...) }
