package dispatch

import (
	"fmt"
	"strconv"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
)

// operations maps each operation on an idempotency key to its name in scripts.
var operations = map[consensus.Op]string{
	consensus.Read:              "read",
	idempotency.OpClaim:         "claim",
	idempotency.OpBlock:         "block",
	idempotency.OpRelease:       "release",
	idempotency.OpComplete:      "complete",
	idempotency.OpNumberAttempt: "number",
}

// responseClasses maps each response class to its name in scripts.
var responseClasses = map[ResponseClass]string{
	Rejected:    "rejected",
	Unknown:     "unknown",
	Answered:    "answered",
	ClientError: "client-error",
}

// formatCommand formats a command as in a script.
func (r *scriptRunner) formatCommand(command event.Command) string {
	switch c := command.(type) {
	case IdempotencyCall:
		if c.Sequence == 0 {
			return fmt.Sprintf("%s in-background %s", operations[c.Op], c.Key)
		}
		r.sequences[c.ID] = c.Sequence
		return fmt.Sprintf("%s %d %s", operations[c.Op], c.ID, c.Key)
	case Forward:
		r.sequences[c.ID] = c.Sequence
		line := fmt.Sprintf("forward %d to %s", c.ID, c.Target.Instance)
		if c.NewConnection {
			line += " new-connection"
		}
		if c.RecentlyUsedOnly {
			line += " recent-only"
		}
		return line
	case CancelForward:
		if c.EvenIfSent {
			return fmt.Sprintf("cancel %d sent", c.ID)
		}
		return fmt.Sprintf("cancel %d unsent", c.ID)
	case Response:
		return fmt.Sprintf("respond %d %s %d %q retry=%s %s", c.ID, responseClasses[c.Class], c.Status, c.Reason, formatRetryAfter(c.RetryAfter), c.TargetResponse.Body)
	}
	return fmt.Sprintf("%T", command)
}

// formatRetryAfter formats whole seconds as a number, and other durations with their unit.
func formatRetryAfter(d time.Duration) string {
	if d%time.Second == 0 {
		return strconv.Itoa(int(d / time.Second))
	}
	return d.String()
}
