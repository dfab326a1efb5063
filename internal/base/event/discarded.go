package event

import "dunlinwell/internal/base/ids"

// Reason says why a message was discarded. It is a label of the metric
// wire_messages_total and a value in the log, so its text must not change.
type Reason string

// The reasons of machines. The transport adds its own for frames that no machine
// gets to see.
const (
	// Unsolicited is a reply to no open request of this run: late, duplicate, meant
	// for an earlier run, or from a daemon that wasn't asked.
	Unsolicited Reason = "not asked"
	// UnknownSender is a message whose sender isn't the daemon that it speaks for.
	UnknownSender Reason = "not a member"
	// Malformed is a message that was decoded but contradicts itself.
	Malformed Reason = "malformed"
)

// Discarded reports a message that changed no state. The owner counts each, and
// logs the first of each peer and reason.
type Discarded struct {
	From    ids.Address
	Reason  Reason
	Message any
}
