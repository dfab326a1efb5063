package event

import "dunlinwell/internal/base/ids"

// Reason is the reason for discarding a message. It is a label value of the metric
// wire_messages_total and appears in the log, so its text must not change.
type Reason string

// Reasons of the state machines. The transport has additional ones for frames that it
// doesn't deliver to a state machine.
const (
	// Unsolicited is a reply without a pending request of this run: late, duplicate,
	// meant for an earlier run, or from a daemon to which no request was sent.
	Unsolicited Reason = "not asked"
	// UnknownSender is a message whose sender isn't the daemon named in it.
	UnknownSender Reason = "not a member"
	// Malformed is a message that was decoded but whose fields are inconsistent.
	Malformed Reason = "malformed"
)

// Discarded is the command to count a message that was ignored. Only the first one for
// each peer and reason is logged.
type Discarded struct {
	From    ids.Address
	Reason  Reason
	Message any
}
