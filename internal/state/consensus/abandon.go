package consensus

import "dunlinwell/internal/base/ids"

// CallID names a call of a Client that is under way.
type CallID uint64

// IsPending tells whether a call still waits for its answer.
func (c *Client) IsPending(id CallID) bool { return c.pending[uint64(id)] != nil }

// Abandon ends a call that nobody waits for any longer. It is Rejected only
// where every store that was asked has rejected; any other may still carry it
// out, so then it is Uncertain.
func (c *Client) Abandon(now ids.Time, id CallID) {
	call := c.pending[uint64(id)]
	if call == nil {
		return
	}
	delete(c.pending, uint64(id))
	state := Rejected
	if len(call.unresolved) > 0 {
		state = Indeterminate
	}
	call.onComplete(now, state, nil)
}
