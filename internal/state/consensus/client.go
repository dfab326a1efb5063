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
	// Order names the stores to try, best first.
	Order   func(key ids.Key) []ids.Address
	pending map[uint64]*pendingCall
	next    uint64
	// silent are stores that left a try unanswered, and until when others are
	// tried before them.
	silent map[ids.Address]ids.Time
	// took is how long each store took to answer of late.
	took map[ids.Address]time.Duration
}

type pendingCall struct {
	Request
	due   ids.Time
	again ids.Time
	tries int
	// maybe holds the tries that no store has said to have declined, and asked
	// where each try went. Not the stores alone: one may decline a second try
	// and still be busy with the first.
	maybe map[uint32]bool
	asked map[uint32]attempt
	done  func(now ids.Time, s State, out []byte)
	// have is the value that the client holds, for a read that finds the same.
	have []byte
}

// attempt is where and when a try of a call was sent.
type attempt struct {
	to ids.Address
	at ids.Time
}

// NewClient makes a client whose ids begin past a start's own number, so that
// answers to an earlier run are not taken for its own.
func NewClient(start ids.RunID, out *event.Outbox) *Client {
	return &Client{out: out, pending: map[uint64]*pendingCall{}, silent: map[ids.Address]ids.Time{}, took: map[ids.Address]time.Duration{}, next: uint64(start) << 24}
}

// Call asks for an operation; done is called once, with how it ended.
func (a *Client) Call(now ids.Time, key ids.Key, op Op, arg []byte, wait time.Duration, done func(ids.Time, State, []byte)) CallID {
	return a.call(now, Request{Key: key, Op: op, Arg: arg}, nil, wait, done)
}

// ReadIfChanged reads a register whose value the client already holds; where it is the
// same still, no more than that is sent. sum is that of the value.
func (a *Client) ReadIfChanged(now ids.Time, key ids.Key, have []byte, sum uint64, wait time.Duration, done func(ids.Time, State, []byte)) CallID {
	return a.call(now, Request{Key: key, Op: Read, HaveChecksum: sum}, have, wait, done)
}

func (a *Client) call(now ids.Time, ask Request, have []byte, wait time.Duration, done func(ids.Time, State, []byte)) CallID {
	a.next++
	ask.ID = a.next
	w := &pendingCall{Request: ask, have: have, due: now.Add(wait), done: done, maybe: map[uint32]bool{}, asked: map[uint32]attempt{}}
	a.pending[w.ID] = w
	a.send(now, w)
	return CallID(w.ID)
}

func (a *Client) send(now ids.Time, w *pendingCall) {
	w.again = now.Add(tryFor + TransferTime(len(w.Arg)))
	to := a.order(now, w.Key)
	if len(to) == 0 {
		return
	}
	at := w.leastTried(to)
	w.tries++
	w.Try = uint32(w.tries)
	w.maybe[w.Try], w.asked[w.Try] = true, attempt{at, now}
	w.Wait = uint32(max(w.due.Since(now), 0) / time.Millisecond)
	a.out.Send(at, w.Request)
}

// HandleResponse takes the word of the store that a try went to; any other is
// late, doubled, or not an answer to this run at all.
func (a *Client) HandleResponse(now ids.Time, from ids.Address, m Response) {
	w := a.pending[m.ID]
	if w == nil || w.asked[m.Try].to != from {
		a.out.Discard(from, event.NotAsked, m)
		return
	}
	delete(a.silent, from)
	a.note(from, now.Since(w.asked[m.Try].at))
	switch m.State {
	case Done:
		delete(a.pending, m.ID)
		if m.Same {
			m.Result = w.have
		}
		w.done(now, Done, m.Result)
	case Declined:
		// Another store may do better; one round through all, then a rest.
		delete(w.maybe, m.Try)
		if w.tries < len(a.Order(w.Key)) {
			a.send(now, w)
		} else {
			w.again = min(w.again, now.Add(tryFor/4))
		}
	}
}

// Clock tries again, and ends what has run out of time. Only a request that no
// store can still be busy with is surely without effect.
func (a *Client) Clock(now ids.Time) {
	for _, id := range slices.Sorted(maps.Keys(a.pending)) {
		w := a.pending[id]
		if w == nil {
			continue
		}
		switch {
		case now >= w.due:
			a.Abandon(now, CallID(id))
		case now >= w.again:
			a.missed(now, w)
			a.send(now, w)
		}
	}
}
