package runbook

import "time"

// Book is a runbook.
type Book struct {
	Name        string `json:"name"`
	Description string `json:"about"`
	// Parameters are the names of the values that a run must be given.
	Parameters []string `json:"needs"`
	Steps      []Step   `json:"steps"`
}

// Step is one step: an instruction for the operator or a command, and checks of the
// result. Its texts may have placeholders such as {cell}, for a parameter or for the
// item of ForEach.
type Step struct {
	Name string `json:"name"`
	// Instruction is for the operator to do by hand, and to confirm.
	Instruction string `json:"say"`
	// Command is a command line without the program's name. It runs once.
	Command []string `json:"run"`
	// ForEach is a path in the answer to the command status. The step is repeated for each
	// value found there, which {item} stands for.
	ForEach string `json:"each"`
	// Observe is a command line that is repeated until the checks hold. Without it they
	// are made once, on the answer to Command.
	Observe []string `json:"look"`
	// Checks must all hold.
	Checks []Check `json:"until"`
	// Timeout bounds the wait for the checks, as time.ParseDuration reads it; 10 s if
	// empty.
	Timeout string `json:"within"`
	timeout time.Duration
}

// Check compares what a path finds in an answer in JSON. It has one of the comparisons.
type Check struct {
	// Path is in gjson's syntax.
	Path string `json:"path"`
	// Equals and NotEquals compare the value as text.
	Equals    *string `json:"is"`
	NotEquals *string `json:"not"`
	// Empty asks for no value, null or an empty list.
	Empty bool `json:"none"`
	// Changed asks for another text than before the step.
	Changed bool `json:"changed"`
	// LessThan asks for a smaller number.
	LessThan *float64 `json:"under"`
}
