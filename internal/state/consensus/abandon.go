package consensus

import "dunlinwell/internal/base/ids"

// CallID names a call of a Client that is under way.
type CallID uint64

// Pending tells whether a call still waits for its answer.
func (a *Client) Pending(id CallID) bool { return a.pending[uint64(id)] != nil }

// Abandon ends a call that nobody waits for any longer. It is Rejected only
// where every store that was asked has rejected; any other may still carry it
// out, so then it is Uncertain.
func (a *Client) Abandon(now ids.Time, id CallID) {
	call := a.pending[uint64(id)]
	if call == nil {
		return
	}
	delete(a.pending, uint64(id))
	state := Rejected
	if len(call.maybe) > 0 {
		state = Indeterminate
	}
	call.done(now, state, nil)
}
