package consensus

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// Client carries requests to stores for the other daemons: to one after the
// other until one answers, which is safe as each operation knows itself again.
type Client struct {
	out *event.Outbox
	// StoreOrder names the stores to try, best first.
	StoreOrder func(key ids.RegisterKey) []ids.Address
	pending    map[uint64]*pendingCall
	lastCallID uint64
	// silentUntil are stores that left a try unanswered, and until when others are
	// tried before them.
	silentUntil map[ids.Address]ids.Time
	// meanResponseTime is how long each store took to answer of late.
	meanResponseTime map[ids.Address]time.Duration
}

type pendingCall struct {
	Request
	deadline     ids.Time
	retryAt      ids.Time
	attemptCount int
	// unresolved holds the tries that no store has said to have rejected, and asked
	// where each try went. Not the stores alone: one may reject a second try
	// and still be busy with the first.
	unresolved map[uint32]bool
	attempts   map[uint32]attempt
	onComplete func(now ids.Time, s Outcome, out []byte)
	// held is the value that the client holds, for a read that finds the same.
	held []byte
}

// attempt is where and when a try of a call was sent.
type attempt struct {
	store  ids.Address
	sentAt ids.Time
}

// NewClient makes a client whose ids begin past a start's own number, so that
// answers to an earlier run are not taken for its own.
func NewClient(start ids.RunID, out *event.Outbox) *Client {
	return &Client{out: out, pending: map[uint64]*pendingCall{}, silentUntil: map[ids.Address]ids.Time{}, meanResponseTime: map[ids.Address]time.Duration{}, lastCallID: uint64(start) << 24}
}

// Call asks for an operation; done is called once, with how it ended.
func (c *Client) Call(now ids.Time, key ids.RegisterKey, op Op, arg []byte, timeout time.Duration, onComplete func(ids.Time, Outcome, []byte)) CallID {
	return c.call(now, Request{Key: key, Op: op, Arg: arg}, nil, timeout, onComplete)
}

// ReadIfChanged reads a register whose value the client already holds; where it is the
// same still, no more than that is sent. sum is that of the value.
func (c *Client) ReadIfChanged(now ids.Time, key ids.RegisterKey, held []byte, checksum uint64, timeout time.Duration, onComplete func(ids.Time, Outcome, []byte)) CallID {
	return c.call(now, Request{Key: key, Op: Read, HaveChecksum: checksum}, held, timeout, onComplete)
}

func (c *Client) call(now ids.Time, request Request, held []byte, timeout time.Duration, onComplete func(ids.Time, Outcome, []byte)) CallID {
	c.lastCallID++
	request.ID = c.lastCallID
	call := &pendingCall{Request: request, held: held, deadline: now.Add(timeout), onComplete: onComplete, unresolved: map[uint32]bool{}, attempts: map[uint32]attempt{}}
	c.pending[call.ID] = call
	c.send(now, call)
	return CallID(call.ID)
}

func (c *Client) send(now ids.Time, call *pendingCall) {
	call.retryAt = now.Add(attemptTimeout + TransferTime(len(call.Arg)))
	to := c.attemptOrder(now, call.Key)
	if len(to) == 0 {
		return
	}
	at := call.leastTriedStore(to)
	call.attemptCount++
	call.Attempt = uint32(call.attemptCount)
	call.unresolved[call.Attempt], call.attempts[call.Attempt] = true, attempt{at, now}
	call.TimeoutMillis = uint32(max(call.deadline.Sub(now), 0) / time.Millisecond)
	c.out.Send(at, call.Request)
}

// HandleResponse takes the word of the store that a try went to; any other is
// late, doubled, or not an answer to this run at all.
func (c *Client) HandleResponse(now ids.Time, from ids.Address, m Response) {
	call := c.pending[m.ID]
	if call == nil || call.attempts[m.Attempt].store != from {
		c.out.Discard(from, event.Unsolicited, m)
		return
	}
	delete(c.silentUntil, from)
	c.recordResponseTime(from, now.Sub(call.attempts[m.Attempt].sentAt))
	switch m.Outcome {
	case Succeeded:
		delete(c.pending, m.ID)
		if m.Unchanged {
			m.Result = call.held
		}
		call.onComplete(now, Succeeded, m.Result)
	case Rejected:
		// Another store may do better; one round through all, then a rest.
		delete(call.unresolved, m.Attempt)
		if call.attemptCount < len(c.StoreOrder(call.Key)) {
			c.send(now, call)
		} else {
			call.retryAt = min(call.retryAt, now.Add(attemptTimeout/4))
		}
	}
}

// Tick tries again, and ends what has run out of time. Only a request that no
// store can still be busy with is surely without effect.
func (c *Client) Tick(now ids.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		call := c.pending[id]
		if call == nil {
			continue
		}
		switch {
		case now >= call.deadline:
			c.Abandon(now, CallID(id))
		case now >= call.retryAt:
			c.markSilentStores(now, call)
			c.send(now, call)
		}
	}
}
