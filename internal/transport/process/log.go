package process

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/phuslu/log"

	"dunlinwell/internal/base/event"
)

// Log writes one line of key=value pairs for each event.
type Log struct{ log.Logger }

// NewLog makes a log to standard error from a level up.
func NewLog(level, daemon string) *Log {
	return &Log{log.Logger{
		Level: log.ParseLevel(level), TimeField: "time", TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context: log.NewContext(nil).Str("daemon", daemon).Value(),
		Writer:  &log.ConsoleWriter{Writer: os.Stderr, Formatter: formatKeyValues},
	}}
}

// formatKeyValues writes an entry as key=value, quoted where it has to be.
func formatKeyValues(w io.Writer, a *log.FormatterArgs) (int, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "time=%s level=%s event=%s", a.Time, a.Level, quoteValue(a.Message))
	for _, kv := range a.KeyValues {
		fmt.Fprintf(&b, " %s=%s", kv.Key, quoteValue(kv.Value))
	}
	b.WriteByte('\n')
	return io.WriteString(w, b.String())
}

func quoteValue(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\n\t") {
		return strconv.Quote(s)
	}
	return s
}

// Event logs an event with its pairs.
func (l *Log) Event(level event.Level, name event.LogEvent, fields ...string) {
	e := l.WithLevel(log.ParseLevel(string(level)))
	for i := 0; i+1 < len(fields); i += 2 {
		e = e.Str(fields[i], fields[i+1])
	}
	e.Msg(string(name))
}

// WriteEntry logs what a machine had to say.
func (l *Log) WriteEntry(entry event.LogEntry) { l.Event(entry.Level, entry.Event, entry.Fields...) }

// isConnectionEnd tells whether a connection just ended, as connections do.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), "connection reset")
}
