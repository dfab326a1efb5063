package dispatch

import "strconv"

// AttemptResult is the result of one forwarded attempt.
type AttemptResult uint8

const (
	// NotSent means that no byte of the request left this proxy.
	NotSent AttemptResult = iota + 1
	// MayHaveRun means that bytes were sent and no complete response was received.
	MayHaveRun
	// Complete means that a complete response with a verified digest was received.
	Complete
	// NotExecuted means that the target stated that it hasn't run the request and won't.
	NotExecuted
	// WrongTarget means that another target now has the address, and stated that it
	// hasn't run the request.
	WrongTarget
	// TargetFailed means that a complete response reported a failure of the target itself,
	// so another target may succeed.
	TargetFailed
)

// attemptResultNames are the names of the results in log entries.
var attemptResultNames = map[AttemptResult]string{
	NotSent:      "not-sent",
	MayHaveRun:   "may-have-run",
	Complete:     "complete",
	NotExecuted:  "not-executed",
	WrongTarget:  "wrong-target",
	TargetFailed: "target-failed",
}

// String returns the result's name in log entries, or its number if it has none.
func (r AttemptResult) String() string {
	if name := attemptResultNames[r]; name != "" {
		return name
	}
	return strconv.Itoa(int(r))
}

// excludesRun reports whether the request surely hasn't run, and won't, under the attempt.
func (r AttemptResult) excludesRun() bool {
	return r == NotSent || r == NotExecuted || r == WrongTarget
}
