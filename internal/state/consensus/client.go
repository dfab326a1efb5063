package consensus

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// CallID identifies a call of a Client.
type CallID uint64

// Client sends a daemon's requests to the stores, trying one store after another until one
// responds. Retries are safe because change functions detect changes already applied.
type Client struct {
	out *event.Outbox
	// StoreOrder returns the stores that can serve a register, most preferred first. It
	// must be set before the first call.
	StoreOrder func(key ids.RegisterKey) []ids.Address
	pending    map[uint64]*pendingCall
	lastCallID uint64
	// unresponsiveUntil holds the stores that didn't respond to an attempt, and when their
	// lower priority ends.
	unresponsiveUntil map[ids.Address]ids.Time
	// meanResponseTime holds a moving average for each store.
	meanResponseTime map[ids.Address]time.Duration
}

// pendingCall is a call without an outcome yet.
type pendingCall struct {
	Request
	deadline     ids.Time
	retryAt      ids.Time
	attemptCount int
	// unresolved holds the attempts that weren't rejected. It is keyed by attempt because
	// a store may reject a second attempt while still processing the first.
	unresolved map[uint32]bool
	attempts   map[uint32]attempt
	onComplete func(now ids.Time, outcome Outcome, result []byte)
	// knownValue is the value that the caller already holds and a store needn't send again.
	knownValue []byte
}

// attempt records where and when an attempt of a call was sent.
type attempt struct {
	store  ids.Address
	sentAt ids.Time
}

// callIDRunShift reserves 2^24 call IDs for each run of a process.
const callIDRunShift = 24

// NewClient returns a client for one run of a process. Its call IDs start at a value derived
// from the run ID, so that responses to an earlier run don't match its calls.
func NewClient(run ids.RunID, out *event.Outbox) *Client {
	return &Client{
		out:               out,
		pending:           map[uint64]*pendingCall{},
		lastCallID:        uint64(run) << callIDRunShift,
		unresponsiveUntil: map[ids.Address]ids.Time{},
		meanResponseTime:  map[ids.Address]time.Duration{},
	}
}

// Call reads or changes a register. onComplete is called once, by the timeout at the latest.
func (c *Client) Call(now ids.Time, key ids.RegisterKey, op Op, arg []byte, timeout time.Duration, onComplete func(ids.Time, Outcome, []byte)) CallID {
	return c.call(now, Request{Key: key, Op: op, Arg: arg}, nil, timeout, onComplete)
}

// ReadIfChanged reads a register for a caller that holds a value with the given Checksum. If
// the value is unchanged, the store doesn't send it and onComplete receives knownValue.
func (c *Client) ReadIfChanged(now ids.Time, key ids.RegisterKey, knownValue []byte, checksum uint64, timeout time.Duration, onComplete func(ids.Time, Outcome, []byte)) CallID {
	return c.call(now, Request{Key: key, Op: Read, KnownChecksum: checksum}, knownValue, timeout, onComplete)
}

func (c *Client) call(now ids.Time, request Request, knownValue []byte, timeout time.Duration, onComplete func(ids.Time, Outcome, []byte)) CallID {
	c.lastCallID++
	request.ID = c.lastCallID
	call := &pendingCall{
		Request: request, knownValue: knownValue, deadline: now.Add(timeout), onComplete: onComplete,
		unresolved: map[uint32]bool{}, attempts: map[uint32]attempt{},
	}
	c.pending[call.ID] = call
	c.send(now, call)
	return CallID(call.ID)
}

// send sends the next attempt of a call.
func (c *Client) send(now ids.Time, call *pendingCall) {
	call.retryAt = now.Add(attemptTimeout + TransferTime(len(call.Arg)))
	stores := c.attemptOrder(now, call.Key)
	if len(stores) == 0 {
		return
	}
	store := call.leastTriedStore(stores)
	call.attemptCount++
	call.Attempt = uint32(call.attemptCount)
	call.unresolved[call.Attempt] = true
	call.attempts[call.Attempt] = attempt{store, now}
	call.TimeoutMillis = uint32(max(call.deadline.Sub(now), 0) / time.Millisecond)
	c.out.Send(store, call.Request)
}

// HandleResponse handles the response to an attempt. It discards late and duplicate responses,
// and those that are for another run or not from the store that the attempt was sent to.
func (c *Client) HandleResponse(now ids.Time, from ids.Address, m Response) {
	call := c.pending[m.ID]
	if call == nil || call.attempts[m.Attempt].store != from {
		c.out.Discard(from, event.Unsolicited, m)
		return
	}
	delete(c.unresponsiveUntil, from)
	c.recordResponseTime(from, now.Sub(call.attempts[m.Attempt].sentAt))
	switch m.Outcome {
	case Succeeded:
		delete(c.pending, m.ID)
		if m.Unchanged {
			m.Result = call.knownValue
		}
		call.onComplete(now, Succeeded, m.Result)
	case Rejected:
		// Another store may succeed: try each store once, then pause before retrying.
		delete(call.unresolved, m.Attempt)
		if call.attemptCount < len(c.StoreOrder(call.Key)) {
			c.send(now, call)
		} else {
			call.retryAt = min(call.retryAt, now.Add(attemptTimeout/4))
		}
	case Indeterminate:
		// The attempt stays unresolved, so the call can no longer end as Rejected. Tick
		// sends the next attempt when it is due.
	}
}

// Tick sends further attempts and ends calls at their deadline. It must be called several
// times per attemptTimeout.
func (c *Client) Tick(now ids.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		call := c.pending[id]
		if call == nil {
			// Ended by the onComplete of another call.
			continue
		}
		switch {
		case now >= call.deadline:
			c.Cancel(now, CallID(id))
		case now >= call.retryAt:
			c.markUnresponsiveStores(now, call)
			c.send(now, call)
		}
	}
}

// IsPending reports whether a call has no outcome yet.
func (c *Client) IsPending(id CallID) bool { return c.pending[uint64(id)] != nil }

// Cancel ends a call, possibly before its deadline. The outcome is Rejected only if every
// attempt was rejected. Otherwise a store may still execute it, so it is Indeterminate.
func (c *Client) Cancel(now ids.Time, id CallID) {
	call := c.pending[uint64(id)]
	if call == nil {
		return
	}
	delete(c.pending, uint64(id))
	outcome := Rejected
	if len(call.unresolved) > 0 {
		outcome = Indeterminate
	}
	call.onComplete(now, outcome, nil)
}
