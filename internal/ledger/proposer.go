package ledger

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dunlinwell/internal/ticket"
	"dunlinwell/internal/works"
)

// Func is a change function: it takes the register's value and an argument,
// and gives the next value and what to tell the asker. It must know a change
// that it has made before, since a round that was cut short is run again.
type Func func(key ticket.Key, old, arg []byte) (next, out []byte)

// Proposer runs rounds for whoever asks. Any stockroom may; ballots, not the
// choice of stockroom, keep it safe.
type Proposer struct {
	out    *works.Out
	dice   *rand.Rand
	by     uint64
	roster func() Roster
	ops    map[Op]Func
	// Reached tells whether a store's daemon is not gone, for the short grace.
	Reached func(store uint64) bool
	// Audience names who must hear of a register's new value.
	Audience func(key ticket.Key) []ticket.Address
	sheet    map[ticket.Key]*round
	last     map[ticket.Key]held
	// seen holds values of registers other than marks, by the ballot that they
	// were last met under: they are large, and read far more often than changed.
	seen  map[ticket.Key]held
	order []ticket.Key
	count uint64
	high  uint64
	// early counts the ballots of first values, all below those of rounds.
	early uint64
}

type held struct {
	ballot ticket.Ballot
	value  []byte
}

type phase uint8

const (
	idle phase = iota
	peeking
	preparing
	accepting
	gracing
)

type asked struct {
	Ask
	from ticket.Address
	due  ticket.Tick
	// sent: a value with this ask's effect has left, so it may take effect.
	sent bool
	out  []byte
}

type round struct {
	key      ticket.Key
	wait     []*asked
	batch    []*asked
	phase    phase
	id       uint64
	ballot   ticket.Ballot
	next     ticket.Ballot
	floor    uint64
	began    ticket.Tick
	resend   ticket.Tick
	rest     ticket.Tick
	promises map[uint64]Promise
	yes      map[uint64]bool
	value    []byte
	// first: this round tried to be the register's first; tried: one did.
	first, tried bool
}

// NewProposer makes a proposer whose ballots no other run can have used.
func NewProposer(by uint64, roster func() Roster, ops map[Op]Func, dice *rand.Rand, out *works.Out) *Proposer {
	return &Proposer{out: out, dice: dice, by: by, roster: roster, ops: ops,
		Reached: func(uint64) bool { return true }, Audience: func(ticket.Key) []ticket.Address { return nil },
		sheet: map[ticket.Key]*round{}, last: map[ticket.Key]held{}, seen: map[ticket.Key]held{}}
}

const (
	resendAfter = 100 * time.Millisecond
	grace       = 200 * time.Millisecond
	mostLast    = 4096
)

// Ask takes a wish.
func (p *Proposer) Ask(now ticket.Tick, from ticket.Address, a Ask) {
	if len(p.roster().Stores) == 0 {
		p.out.Tell(from, Told{ID: a.ID, Try: a.Try, State: Declined})
		return
	}
	if _, known := p.ops[a.Op]; !known && a.Op != Read {
		p.out.Tell(from, Told{ID: a.ID, Try: a.Try, State: Declined})
		return
	}
	r := p.sheet[a.Key]
	if r == nil {
		r = &round{key: a.Key}
		p.sheet[a.Key] = r
	}
	r.wait = append(r.wait, &asked{Ask: a, from: from, due: now.Add(time.Duration(a.Wait) * time.Millisecond)})
	if r.phase == idle && now >= r.rest {
		p.begin(now, r)
	}
}

// begin runs all that waits as one round, each ask judged alone.
func (p *Proposer) begin(now ticket.Tick, r *round) {
	r.batch = append(r.batch, r.wait...)
	r.wait = nil
	if len(r.batch) == 0 {
		r.phase = idle
		delete(p.sheet, r.key)
		return
	}
	p.count++
	r.id, r.began = p.count, now
	r.promises, r.yes = map[uint64]Promise{}, map[uint64]bool{}
	reads := !slices.ContainsFunc(r.batch, func(a *asked) bool { return a.Op != Read })
	h, known := p.last[r.key]
	r.first = false
	switch {
	case reads && r.floor == 0:
		r.phase = peeking
	case known:
		// A majority promised this ballot when it took our last value.
		r.ballot = h.ballot
		delete(p.last, r.key)
		p.propose(now, r, h.value)
		return
	case p.mayBeFirst(r):
		// A mark is nearly always new: its first value needs no promise where
		// every store takes it as the first.
		r.first = true
		p.early++
		r.ballot = ticket.Ballot{Count: p.early, By: p.by}
		p.propose(now, r, nil)
		return
	default:
		r.phase = preparing
		r.ballot = p.ballot(r)
	}
	p.send(now, r)
}

// ballot gives one above the floor that this run has never used, whatever
// register it was for: a ballot used twice could stand for two values.
func (p *Proposer) ballot(r *round) ticket.Ballot {
	p.high = max(p.high, r.floor, firstBallots) + 1
	r.floor = p.high
	return ticket.Ballot{Count: p.high, By: p.by}
}

// propose folds the batch over the value and asks for it to be kept.
func (p *Proposer) propose(now ticket.Tick, r *round, value []byte) {
	for _, a := range r.batch {
		if a.Op == Read {
			a.out = value
			continue
		}
		value, a.out = p.ops[a.Op](r.key, value, a.Arg)
		a.sent = true
	}
	r.value, r.phase, r.yes = value, accepting, map[uint64]bool{}
	r.floor = max(r.floor, r.ballot.Count)
	r.next = p.ballot(r)
	p.send(now, r)
}

// send carries the phase's question to those who have not answered it.
func (p *Proposer) send(now ticket.Tick, r *round) {
	r.resend = now.Add(resendAfter)
	ro := p.roster()
	for _, s := range ro.All() {
		switch r.phase {
		case peeking, preparing:
			if _, ok := r.promises[s.ID]; !ok {
				p.out.Tell(s.Address, Prepare{Key: r.key, Ballot: r.ballot, Roster: ro.Number, Round: r.id, Peek: r.phase == peeking, Known: p.seen[r.key].ballot})
			}
		case accepting, gracing:
			if !r.yes[s.ID] {
				p.out.Tell(s.Address, Accept{Key: r.key, Ballot: r.ballot, Next: r.next, Roster: ro.Number, Round: r.id, Value: r.value, First: r.first})
			}
		}
	}
}

// retreat gives a round up to a higher ballot and tries again after a rest.
func (p *Proposer) retreat(now ticket.Tick, r *round, seen ticket.Ballot) {
	r.floor = max(r.floor, seen.Count)
	r.phase, r.rest = idle, now.Add(time.Duration(5+p.dice.IntN(40))*time.Millisecond)
	delete(p.last, r.key)
}

// finish answers the batch and goes on with what came meanwhile.
func (p *Proposer) finish(now ticket.Tick, r *round) {
	for _, a := range r.batch {
		t := Told{ID: a.ID, Try: a.Try, State: Done, Out: a.out}
		if a.Op == Read && a.Have != 0 && a.Have == Sum(a.out) {
			t.Out, t.Same = nil, true
		}
		p.out.Tell(a.from, t)
	}
	r.batch, r.floor = nil, 0
	p.begin(now, r)
}

// Clock resends, gives up on asks whose time is over, and ends graces.
func (p *Proposer) Clock(now ticket.Tick) {
	for _, k := range slices.Sorted(maps.Keys(p.sheet)) {
		r := p.sheet[k]
		r.wait = p.expire(now, r.wait)
		if r.phase != gracing {
			r.batch = p.expire(now, r.batch)
		}
		switch {
		case r.phase == gracing && now.Since(r.began) >= grace:
			p.finish(now, r)
		case r.phase == idle && now >= r.rest:
			p.begin(now, r)
		case r.phase != idle && len(r.batch) == 0 && len(r.wait) == 0:
			delete(p.sheet, k)
		case r.first && r.phase == accepting && now.Since(r.began) >= resendAfter/2:
			// Not every store answers: a full round settles it, and the change
			// knows itself where some of them have it already.
			p.retreat(now, r, r.ballot)
		case r.phase == peeking && now.Since(r.began) >= resendAfter:
			// Copies differ or are silent: a full round settles it.
			r.floor++
			p.begin(now, r)
		case r.phase != idle && now >= r.resend:
			p.send(now, r)
		}
	}
}
