package checker

import (
	"fmt"
	"sync"
	"time"

	"dunlinwell/internal/base/ids"
)

// Execution is one execution of a request at a stand-in target.
type Execution struct {
	// At is when the execution began.
	At time.Time
	// Sent is when the request's bytes left the proxy, or the latest time at
	// which they may have: they may wait long in the socket of a frozen target.
	// Zero where that is not known; then At stands for it.
	Sent           time.Time
	Instance       ids.InstanceID
	Service        ids.Name
	Zone           ids.Name
	Token          string
	IdempotencyKey string
	Attempt        int
	// AttemptHidden: the client didn't send the number of its attempt.
	AttemptHidden bool
	// DepartureKnownFor is how long the core had known, when the request arrived, that the
	// target was leaving or gone; zero if it hadn't.
	DepartureKnownFor time.Duration
	// Route is the route of the request's path, and TimeLeft the time until its deadline.
	Route    ids.Name
	TimeLeft time.Duration
	// Proxy forwarded the request; it runs in ProxyZone.
	Proxy     string
	ProxyZone ids.Name
}

// leftProxyAt is when the request's bytes left the proxy, as far as is known.
func (e Execution) leftProxyAt() time.Time {
	if e.Sent.IsZero() {
		return e.At
	}
	return e.Sent
}

// The classes of the end of an attempt at a client.
const (
	// ClassAnswered: the response is the target's.
	ClassAnswered = "answered"
	// ClassRejected: the response says that the request did not run.
	ClassRejected = "declined"
	// ClassUnknown: the response says that the request may have run.
	ClassUnknown = "unknown"
	// ClassClientError: the response says that the request is invalid.
	ClassClientError = "misused"
	// ClassLost: there was no response.
	ClassLost = "lost"
	// ClassUnreached: no proxy was reached.
	ClassUnreached = "unreached"
)

// ClientResponse is the end of one attempt at a stand-in client: a response or the lack of one.
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
	// Problem says what shows that the response isn't the target's own; empty if nothing does.
	Problem string
	// NoAnswerOwed: no response is owed, as where the route comes and goes.
	NoAnswerOwed bool
	// Held: it came over a long-lived connection, without asking the directory.
	Held bool
}

// Checker gathers what the stand-ins observed and judges it. Its methods may be called from
// several goroutines. The zero value is ready for use.
type Checker struct {
	mu                sync.Mutex
	executions        []Execution
	responses         []ClientResponse
	overloads         []string
	violations        []string
	drains            []Drain
	recoveredAt       time.Time
	ledger            Ledger
	spillMoves        spillObservations
	closedConnections []ClosedConnection
	// departuresKnown counts targets that the core came to know as leaving or gone.
	departuresKnown int
	// RetryAllowance is the configured number of retries that each service may
	// have within ten seconds beyond its share.
	RetryAllowance float64
	// NoFaults: the run injects no fault that could excuse a long-lived
	// connection on which a request gets no response.
	NoFaults bool
}

// RequestExecuted records an execution.
func (c *Checker) RequestExecuted(execution Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions = append(c.executions, execution)
}

// RequestAnswered records the end of an attempt.
func (c *Checker) RequestAnswered(response ClientResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses = append(c.responses, response)
}

// TargetDepartureKnown records that the core came to know a target as leaving or gone.
func (c *Checker) TargetDepartureKnown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departuresKnown++
}

// Overloaded records a target that had more requests at once than it can bear.
func (c *Checker) Overloaded(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overloads = append(c.overloads, fmt.Sprintf(format, args...))
}

// Violation records a broken promise at the moment it is observed.
func (c *Checker) Violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

// addViolation records a broken promise; c.mu must be held.
func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}
