package proxy

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// callIdempotencyRegister executes a dispatcher's call to the stores and passes the reply to the
// dispatcher, unless the call has sequence 0.
func (c *Control) callIdempotencyRegister(now ids.Time, request IdempotencyRequest) {
	call := request.Call
	var operation []byte
	if call.Op != consensus.Read {
		encoded, err := wire.Encode(call.Operation)
		if err != nil {
			c.Emit(DispatchEvent{request.Service, dispatch.IdempotencyReply{ID: call.ID, Sequence: call.Sequence, Outcome: consensus.Rejected}})
			return
		}
		operation = encoded
	}
	c.Client.Call(now, call.Key, call.Op, operation, call.Timeout, func(_ ids.Time, outcome consensus.Outcome, payload []byte) {
		if call.Sequence == 0 {
			return
		}
		c.Emit(DispatchEvent{request.Service, dispatch.IdempotencyReply{ID: call.ID, Sequence: call.Sequence, Outcome: outcome, Payload: payload}})
	})
}
