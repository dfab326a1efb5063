package proxy

import (
	"cmp"
	"strconv"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/dataplane/dispatch"
)

// logAttempt logs the end of an attempt of which bytes may have been sent, at level debug.
func (d *Daemon) logAttempt(conn *connection, request *ClientRequest, f dispatch.Forward, finished dispatch.AttemptFinished) {
	if !d.log.Enabled(event.LevelDebug) {
		return
	}
	d.log.Event(event.LevelDebug, logAttemptFinished,
		"request", cmp.Or(request.AttemptID, d.targetRequestID(f.ID)),
		"sequence", formatUint(uint64(f.Sequence)), "target", string(f.Target.Instance),
		"connection", conn.LocalAddr().String(), "reused", strconv.FormatBool(conn.requestCount > 1),
		"stale_responses", strconv.Itoa(conn.staleResponses),
		"result", finished.Result.String(), "reason", finished.Reason)
}
