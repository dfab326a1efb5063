package consensus

import "dunlinwell/internal/base/ids"

// CallID names a call of a Client that is under way.
type CallID uint64

// Pending tells whether a call still waits for its answer.
func (a *Client) Pending(id CallID) bool { return a.pending[uint64(id)] != nil }

// Abandon ends a call that nobody waits for any longer. It is Declined only
// where every store that was asked has declined; any other may still carry it
// out, so then it is Uncertain.
func (a *Client) Abandon(now ids.Time, id CallID) {
	call := a.pending[uint64(id)]
	if call == nil {
		return
	}
	delete(a.pending, uint64(id))
	state := Declined
	if len(call.maybe) > 0 {
		state = Uncertain
	}
	call.done(now, state, nil)
}
