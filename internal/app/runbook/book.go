package runbook

import "time"

// Book is a runbook.
type Book struct {
	Name        string `json:"name"`
	Description string `json:"about"`
	// Parameters are the names of the values that a run requires.
	Parameters []string `json:"needs"`
	Steps      []Step   `json:"steps"`
}

// Step is one step: a manual instruction or a command, with checks of the result. Its texts
// may contain placeholders such as {cell} for parameters, and {item} with ForEach.
type Step struct {
	Name string `json:"name"`
	// Instruction is a manual step, which the operator carries out and confirms.
	Instruction string `json:"say"`
	// Command is a command line without the program's name. It runs once.
	Command []string `json:"run"`
	// ForEach is a path in the answer to the status command. The step is repeated for each
	// value at the path, which replaces {item}.
	ForEach string `json:"each"`
	// Observe is a command line that is repeated until the checks pass. Without it, they are
	// evaluated once, on the answer to Command.
	Observe []string `json:"look"`
	// Checks must all pass.
	Checks []Check `json:"until"`
	// Timeout is the timeout of the checks, in the format of time.ParseDuration. If empty,
	// it is 10 s.
	Timeout string `json:"within"`
	timeout time.Duration
}

// Check compares the value at a path of a JSON answer. Exactly one comparison is set.
type Check struct {
	// Path is in gjson's syntax.
	Path string `json:"path"`
	// Equals and NotEquals compare the value as text.
	Equals    *string `json:"is"`
	NotEquals *string `json:"not"`
	// Empty requires that the value is missing, null or an empty list.
	Empty bool `json:"none"`
	// Changed requires that the value's text differs from the one before the step.
	Changed bool `json:"changed"`
	// LessThan requires a number less than this one.
	LessThan *float64 `json:"under"`
}
