package ledger

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/ticket"
	"dunlinwell/internal/works"
)

// Asker carries wishes to stockrooms for the other daemons: to one after the
// other until one answers, which is safe as each operation knows itself again.
type Asker struct {
	out *works.Out
	// Order names the stockrooms to try, best first.
	Order func(key ticket.Key) []ticket.Address
	open  map[uint64]*wish
	next  uint64
}

type wish struct {
	Ask
	due   ticket.Tick
	again ticket.Tick
	tries int
	// maybe holds the tries that no stockroom has said to have declined. Not the
	// stockrooms: one may decline a second try and still be busy with the first.
	maybe map[uint32]bool
	done  func(now ticket.Tick, s State, out []byte)
	// have is the value that the asker holds, for a read that finds the same.
	have []byte
}

// NewAsker makes an asker whose ids begin past a start's own number, so that
// answers to an earlier run are not taken for its own.
func NewAsker(start ticket.Start, out *works.Out) *Asker {
	return &Asker{out: out, open: map[uint64]*wish{}, next: uint64(start) << 24}
}

const tryFor = 400 * time.Millisecond

// Want asks for an operation; done is called once, with how it ended.
func (a *Asker) Want(now ticket.Tick, key ticket.Key, op Op, arg []byte, wait time.Duration, done func(ticket.Tick, State, []byte)) {
	a.want(now, Ask{Key: key, Op: op, Arg: arg}, nil, wait, done)
}

// Reread reads a register whose value the asker already holds; where it is the
// same still, no more than that is sent. sum is that of the value.
func (a *Asker) Reread(now ticket.Tick, key ticket.Key, have []byte, sum uint64, wait time.Duration, done func(ticket.Tick, State, []byte)) {
	a.want(now, Ask{Key: key, Op: Read, Have: sum}, have, wait, done)
}

func (a *Asker) want(now ticket.Tick, ask Ask, have []byte, wait time.Duration, done func(ticket.Tick, State, []byte)) {
	a.next++
	ask.ID = a.next
	w := &wish{Ask: ask, have: have, due: now.Add(wait), done: done, maybe: map[uint32]bool{}}
	a.open[w.ID] = w
	a.try(now, w)
}

func (a *Asker) try(now ticket.Tick, w *wish) {
	w.again = now.Add(tryFor)
	to := a.Order(w.Key)
	if len(to) == 0 {
		return
	}
	at := to[w.tries%len(to)]
	w.tries++
	w.Try = uint32(w.tries)
	w.maybe[w.Try] = true
	w.Wait = uint32(max(w.due.Since(now), 0) / time.Millisecond)
	a.out.Tell(at, w.Ask)
}

// Told takes a stockroom's word.
func (a *Asker) Told(now ticket.Tick, m Told) {
	w := a.open[m.ID]
	if w == nil {
		return
	}
	switch m.State {
	case Done:
		delete(a.open, m.ID)
		if m.Same {
			m.Out = w.have
		}
		w.done(now, Done, m.Out)
	case Declined:
		// Another stockroom may do better; one round through all, then a rest.
		delete(w.maybe, m.Try)
		if w.tries < len(a.Order(w.Key)) {
			a.try(now, w)
		} else {
			w.again = min(w.again, now.Add(tryFor/4))
		}
	}
}

// Clock tries again, and ends what has run out of time. Only a wish that no
// stockroom can still be busy with is surely without effect.
func (a *Asker) Clock(now ticket.Tick) {
	for _, id := range slices.Sorted(maps.Keys(a.open)) {
		w := a.open[id]
		if w == nil {
			continue
		}
		switch {
		case now >= w.due:
			delete(a.open, id)
			s := Declined
			if len(w.maybe) > 0 {
				s = Uncertain
			}
			w.done(now, s, nil)
		case now >= w.again:
			a.try(now, w)
		}
	}
}
