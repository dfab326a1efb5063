package checker

import (
	"fmt"
	"sync"
	"time"

	"dunlinwell/internal/base/ids"
)

// Execution is one execution of a request at a simulated target.
type Execution struct {
	// At is when the execution began.
	At time.Time
	// Sent is when the request's bytes left the proxy, or the latest time at which they may
	// have: they can wait in the socket buffer of a frozen target. Zero if unknown; At is used
	// instead.
	Sent           time.Time
	Instance       ids.InstanceID
	Service        ids.Name
	Zone           ids.Name
	Token          string
	IdempotencyKey string
	Attempt        int
	// AttemptOmitted reports whether the client omitted the attempt number.
	AttemptOmitted bool
	// DepartureKnownFor is how long before the request arrived the control plane had learned that
	// the target was leaving or dead; zero if it had not.
	DepartureKnownFor time.Duration
	// Route is the route that the request's path matches.
	Route ids.Name
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Proxy is the proxy that forwarded the request.
	Proxy     string
	ProxyZone ids.Name
}

// leftProxyAt returns Sent, or At if Sent is unknown.
func (e Execution) leftProxyAt() time.Time {
	if e.Sent.IsZero() {
		return e.At
	}
	return e.Sent
}

// Classes of an attempt's outcome, as the client sees it.
const (
	// ClassAnswered means that the response came from the target.
	ClassAnswered = "answered"
	// ClassRejected means that the response says the request was not executed.
	ClassRejected = "declined"
	// ClassUnknown means that the response says the request may have been executed.
	ClassUnknown = "unknown"
	// ClassClientError means that the response says the request is invalid.
	ClassClientError = "misused"
	// ClassLost means that there was no response.
	ClassLost = "lost"
	// ClassUnreached means that no proxy was reached.
	ClassUnreached = "unreached"
)

// ClientResponse is the outcome of one attempt at a simulated client: a response or its absence.
type ClientResponse struct {
	Sent, At       time.Time
	Token          string
	IdempotencyKey string
	Attempt        int
	// Class is one of the Class constants.
	Class  string
	Status int
	Body   string
	Proxy  string
	Zone   ids.Name
	// Problem describes why the response can't have come from the target; empty if it can.
	Problem string
	// ResponseOptional reports whether the attempt may fail, as on a route that is repeatedly removed.
	ResponseOptional bool
	// LongLived reports whether the attempt used a long-lived connection instead of resolving a
	// proxy.
	LongLived bool
}

// Checker collects observations and checks them against the rules. It is safe for concurrent use,
// and its zero value is ready for use.
type Checker struct {
	mu                sync.Mutex
	executions        []Execution
	responses         []ClientResponse
	overloads         []string
	violations        []string
	drains            []Drain
	recoveredAt       time.Time
	history           ChangeHistory
	spill             spillObservations
	closedConnections []ClosedConnection
	// departuresKnown counts targets that the control plane learned to be leaving or dead.
	departuresKnown int
	// RetryAllowance is the configured number of retries that each service may get in each
	// retryWindow in addition to retryShare of its first requests.
	RetryAllowance float64
	// NoFaults reports whether the run injects no faults, so that every request on a long-lived
	// connection must be answered.
	NoFaults bool
}

// RequestExecuted records an execution.
func (c *Checker) RequestExecuted(execution Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions = append(c.executions, execution)
}

// AttemptEnded records the outcome of an attempt.
func (c *Checker) AttemptEnded(response ClientResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses = append(c.responses, response)
}

// TargetDepartureKnown records that the control plane learned that a target is leaving or dead.
func (c *Checker) TargetDepartureKnown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departuresKnown++
}

// TargetOverloaded records that a target had more concurrent requests than its capacity allows.
func (c *Checker) TargetOverloaded(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overloads = append(c.overloads, fmt.Sprintf(format, args...))
}

// Violation records a violation at the moment it is observed.
func (c *Checker) Violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

// addViolation records a violation. The caller must hold c.mu.
func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}
