package dispatch

import (
	"strings"
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/transport/wire"
)

// maxScriptID is the exclusive upper bound of request IDs in a script.
const maxScriptID = 100

// scriptRunner parses the events of a script and formats commands. It tracks the latest sequence
// number of each request, which scripts omit.
type scriptRunner struct{ sequences [maxScriptID]uint32 }

// parseEvent parses an event: its name, the request ID if it has one, and its arguments.
func (r *scriptRunner) parseEvent(t *testing.T, now ids.Time, words []string) event.Event {
	t.Helper()
	name, words := words[0], words[1:]
	switch name {
	case "tick":
		return event.Tick{}
	case "service":
		return parseServiceState(t, now, words)
	case "lease":
		args := parseArgs(t, words, "for")
		return LeaseUpdated{ExpiresAt: now.Add(args.duration(t, "for", 0))}
	}
	id, words := ids.RequestID(parseNumber(t, words[0])), words[1:]
	switch name {
	case "arrive":
		return RequestArrived{parseJob(t, now, id, words)}
	case "reply":
		return r.parseReply(t, id, words)
	case "finished":
		return r.parseFinished(t, id, words)
	case "client-left":
		return ClientDisconnected{ID: id}
	}
	t.Fatalf("unknown event %q", name)
	return nil
}

// parseJob parses a request, which is repeatable unless it has a key or is at-most-once.
func parseJob(t *testing.T, now ids.Time, id ids.RequestID, words []string) Job {
	t.Helper()
	args := parseArgs(t, words, "key", "fingerprint", "attempt", "tier", "deadline", "terms", "at-most-once", "goal", "max-attempts", "homes")
	j := Job{
		ID: id, Route: "r", Service: "s", Tier: 5, Attempt: 1,
		Deadline:       now.Add(args.duration(t, "deadline", 5*time.Second)),
		RouteRules:     RouteRules{Service: ids.Name(args["terms"])},
		IdempotencyKey: ids.IdempotencyKey(args["key"]),
		Fingerprint:    []byte(args["fingerprint"]),
		AtMostOnce:     args.has("at-most-once"),
		LatencyGoal:    args.duration(t, "goal", 0),
		MaxAttempts:    args.number(t, "max-attempts"),
	}
	j.Repeatable = !args.has("key") && !j.AtMostOnce
	if args.has("attempt") {
		j.Attempt = uint32(args.number(t, "attempt"))
	}
	if args.has("tier") {
		j.Tier = args.number(t, "tier")
	}
	if args.has("homes") {
		for _, region := range strings.Split(args["homes"], ",") {
			j.HomeRegions = append(j.HomeRegions, ids.Name(region))
		}
	}
	return j
}

// verdicts maps the names in scripts to the verdicts of idempotency operations.
var verdicts = map[string]idempotency.Verdict{
	"granted":     idempotency.Granted,
	"in-progress": idempotency.InProgress,
	"completed":   idempotency.AlreadyCompleted,
	"blocked":     idempotency.AttemptBlocked,
	"mismatch":    idempotency.FingerprintMismatch,
	"released":    idempotency.Released,
}

// parseReply parses the reply to a request's latest call: "indeterminate", "record" and its
// state, or a verdict.
func (r *scriptRunner) parseReply(t *testing.T, id ids.RequestID, words []string) IdempotencyReply {
	t.Helper()
	known := []string{"record", "claimed", "indeterminate", "owner", "numbered", "fingerprint"}
	for verdict := range verdicts {
		known = append(known, verdict)
	}
	args := parseArgs(t, words, known...)
	reply := IdempotencyReply{ID: id, Sequence: r.sequences[id], Outcome: consensus.Succeeded}
	if args.has("indeterminate") {
		reply.Outcome = consensus.Indeterminate
		return reply
	}
	record := idempotency.Record{Fingerprint: []byte(args["fingerprint"]), LastAssignedAttempt: uint32(args.number(t, "numbered"))}
	if args.has("owner") {
		record.Owner = idempotency.Owner{Daemon: ids.DaemonID(args["owner"]), RunID: 1}
	}
	switch {
	case args.has("completed"):
		record.State = idempotency.Completed
		record.Response = idempotency.Response{Status: 200, Body: []byte(args["completed"])}
	case args.has("claimed"), args.has("in-progress"):
		record.State = idempotency.Claimed
	}
	if args.has("record") {
		reply.Payload = encode(t, record)
		return reply
	}
	for name, verdict := range verdicts {
		if args.has(name) {
			reply.Payload = encode(t, idempotency.Result{Verdict: verdict, Record: record})
		}
	}
	return reply
}

// encode returns the wire encoding of a message.
func encode(t *testing.T, message any) []byte {
	t.Helper()
	raw, err := wire.Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// attemptResults maps the names in scripts to attempt results.
var attemptResults = map[string]AttemptResult{
	"complete":      Complete,
	"may-have-run":  MayHaveRun,
	"not-sent":      NotSent,
	"not-executed":  NotExecuted,
	"wrong-target":  WrongTarget,
	"target-failed": TargetFailed,
}

// parseFinished parses the end of a request's latest attempt: its result, which also becomes
// the reason, and the load that the target reported.
func (r *scriptRunner) parseFinished(t *testing.T, id ids.RequestID, words []string) AttemptFinished {
	t.Helper()
	result, ok := attemptResults[words[0]]
	if !ok {
		t.Fatalf("unknown attempt result %q", words[0])
	}
	args := parseArgs(t, words[1:], "running", "slots")
	finished := AttemptFinished{
		ID: id, Sequence: r.sequences[id], Result: result, Reason: words[0],
		Response:     idempotency.Response{Status: 200, Body: []byte("body")},
		LoadReported: args.has("running"),
		Running:      int64(args.number(t, "running")),
		Slots:        int64(args.number(t, "slots")),
	}
	if result == TargetFailed {
		finished.Response = idempotency.Response{Status: 500, Body: []byte("failure")}
	}
	return finished
}
