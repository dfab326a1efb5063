package proxy

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/transport/process"
)

// The log tells for each attempt on which connection it was, and what was read there; nothing is
// logged above level debug.
func TestForward_LogsAttemptsAndCountsStaleResponses(t *testing.T) {
	is := is.New(t)
	target, d := newFaultyTarget(t, closeConnection), newPlainDaemon(0)
	var entries bytes.Buffer
	d.log = process.NewLog("debug", "c1")
	d.log.Writer = &log.IOWriter{Writer: &entries}
	is.Equal(d.forwardPlain(target, "first").Result, dispatch.Complete)
	target.setResponse(func(id string) string { return plainResponse("first", "of first") + plainResponse(id, "of "+id) })
	is.Equal(d.forwardPlain(target, "second").Result, dispatch.Complete)
	is.Equal(d.staleResponses.Load(), uint64(1))

	lines := strings.Split(strings.TrimSpace(entries.String()), "\n")
	is.Equal(len(lines), 2)
	for i, want := range [][]string{
		{`"message":"attempt_finished"`, `"request":"first"`, `"reused":"false"`, `"stale_responses":"0"`, `"result":"complete"`},
		{`"message":"attempt_finished"`, `"request":"second"`, `"reused":"true"`, `"stale_responses":"1"`, `"result":"complete"`},
	} {
		for _, field := range want {
			is.True(strings.Contains(lines[i], field)) // the entry has this field
		}
	}

	entries.Reset()
	d.log.Level = log.InfoLevel
	is.Equal(d.forwardPlain(target, "third").Result, dispatch.Complete)
	is.Equal(entries.Len(), 0)
}
