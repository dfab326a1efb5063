package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// Func is a change function: it takes the register's value and an argument,
// and gives the next value and what to tell the client. It must know a change
// that it has made before, since a round that was cut short is run again.
type ChangeFunc func(key ids.RegisterKey, old, arg []byte) (next, out []byte)

// Proposer runs rounds for whoever asks. Any store may; ballots, not the
// choice of store, keep it safe.
type Proposer struct {
	out      *event.Outbox
	random   *rand.Rand
	by       uint64
	voterSet func() VoterSet
	ops      map[Op]ChangeFunc
	// Reached tells whether a store's daemon is not gone, for the short grace.
	IsReachable func(store uint64) bool
	// Audience names who must hear of a register's new value.
	Subscribers     func(key ids.RegisterKey) []ids.Address
	rounds          map[ids.RegisterKey]*round
	promisedBallots map[ids.RegisterKey]cachedValue
	// seen holds values of registers other than marks, by the ballot that they
	// were last met under: they are large, and read far more often than changed.
	cachedValues map[ids.RegisterKey]cachedValue
	order        []ids.RegisterKey
	peers
	// count numbers the rounds; no other run has used these numbers.
	count, high uint64
	// early counts the ballots of first values, all below those of rounds.
	early uint64
}

type cachedValue struct {
	ballot ids.Ballot
	value  []byte
}

type phase uint8

const (
	idle phase = iota
	reading
	preparing
	accepting
	replicating
)

type pendingRequest struct {
	Request
	from ids.Address
	due  ids.Time
	// sent: a value with this ask's effect has left, so it may take effect.
	sent bool
	out  []byte
}

type round struct {
	key      ids.RegisterKey
	queued   []*pendingRequest
	batch    []*pendingRequest
	phase    phase
	id       uint64
	ballot   ids.Ballot
	next     ids.Ballot
	floor    uint64
	began    ids.Time
	resendAt ids.Time
	retryAt  ids.Time
	// losses counts the rounds in a row that another proposer's ballot ended.
	losses   int
	promises map[uint64]Promise
	votes    map[uint64]bool
	value    []byte
	// first: this round tried to be the register's first; tried: one did.
	first, tried bool
	// resent counts how often this phase's question was sent again.
	resent int
	differing
}

// NewProposer makes a proposer whose ballots no other run can have used.
func NewProposer(by uint64, voterSet func() VoterSet, ops map[Op]ChangeFunc, random *rand.Rand, out *event.Outbox) *Proposer {
	return &Proposer{
		out: out, random: random, by: by, count: firstRound(by), voterSet: voterSet, ops: ops,
		IsReachable: func(uint64) bool { return true }, Subscribers: func(ids.RegisterKey) []ids.Address { return nil },
		rounds: map[ids.RegisterKey]*round{}, promisedBallots: map[ids.RegisterKey]cachedValue{}, cachedValues: map[ids.RegisterKey]cachedValue{}, peers: newPeers(),
	}
}

const (
	resendAfter = 100 * time.Millisecond
	grace       = 200 * time.Millisecond
	mostLast    = 4096
)

// Ask takes a request.
func (p *Proposer) Submit(now ids.Time, from ids.Address, a Request) {
	if len(p.voterSet().Voters) == 0 {
		p.out.Send(from, Response{ID: a.ID, Attempt: a.Attempt, Outcome: Rejected})
		return
	}
	if _, known := p.ops[a.Op]; !known && a.Op != Read {
		p.out.Send(from, Response{ID: a.ID, Attempt: a.Attempt, Outcome: Rejected})
		return
	}
	r := p.rounds[a.Key]
	if r == nil {
		r = &round{key: a.Key}
		p.rounds[a.Key] = r
	}
	r.queued = append(r.queued, &pendingRequest{Request: a, from: from, due: now.Add(time.Duration(a.Wait) * time.Millisecond)})
	if r.phase == idle && now >= r.retryAt {
		p.begin(now, r)
	}
}

// begin runs all that waits as one round, each ask judged alone.
func (p *Proposer) begin(now ids.Time, r *round) {
	r.batch = append(r.batch, r.queued...)
	r.queued = nil
	if len(r.batch) == 0 {
		r.phase = idle
		delete(p.rounds, r.key)
		return
	}
	p.count++
	r.id, r.began, r.resent = p.count, now, 0
	r.promises, r.votes = map[uint64]Promise{}, map[uint64]bool{}
	reads := !slices.ContainsFunc(r.batch, func(a *pendingRequest) bool { return a.Op != Read })
	h, known := p.promisedBallots[r.key]
	r.first = false
	switch {
	case reads && r.floor == 0 && !p.again[r.key]:
		r.phase = reading
	case known:
		// A majority promised this ballot when it took our last value.
		r.ballot = h.ballot
		delete(p.promisedBallots, r.key)
		p.propose(now, r, h.value)
		return
	case p.mayBeFirst(r):
		// A mark is nearly always new: its first value needs no promise where
		// every store takes it as the first.
		r.first = true
		p.early++
		r.ballot = ids.Ballot{Counter: p.early, Proposer: p.by}
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
func (p *Proposer) ballot(r *round) ids.Ballot {
	p.high = max(p.high, r.floor, firstBallots) + 1
	r.floor = p.high
	return ids.Ballot{Counter: p.high, Proposer: p.by}
}

// propose folds the batch over the value and asks for it to be kept.
func (p *Proposer) propose(now ids.Time, r *round, value []byte) {
	old := value
	delete(p.again, r.key)
	for _, a := range r.batch {
		if a.Op == Read {
			a.out = value
			continue
		}
		value, a.out = p.ops[a.Op](r.key, value, a.Arg)
		a.sent = true
	}
	r.value, r.phase, r.votes, r.resent = value, accepting, map[uint64]bool{}, 0
	r.differing = p.differ(r, old)
	r.floor = max(r.floor, r.ballot.Counter)
	r.next = p.ballot(r)
	p.send(now, r)
}

// send carries the phase's question to those who have not answered it.
func (p *Proposer) send(now ids.Time, r *round) {
	r.resendAt = now.Add(p.patience(r))
	ro := p.voterSet()
	for _, s := range ro.All() {
		switch r.phase {
		case reading, preparing:
			if _, ok := r.promises[s.ID]; !ok {
				p.out.Send(s.Address, Prepare{Key: r.key, Ballot: r.ballot, VoterSet: ro.Number, Round: r.id, ReadOnly: r.phase == reading, Known: p.cachedValues[r.key].ballot})
			}
		case accepting, replicating:
			if !r.votes[s.ID] {
				p.sendAccept(now, s, r, ro.Number)
			}
		}
	}
}

// finish answers the batch and goes on with what came meanwhile.
func (p *Proposer) finish(now ids.Time, r *round) {
	for _, a := range r.batch {
		t := Response{ID: a.ID, Attempt: a.Attempt, Outcome: Succeeded, Result: a.out}
		if a.Op == Read && a.HaveChecksum != 0 && a.HaveChecksum == Checksum(a.out) {
			t.Result, t.Same = nil, true
		}
		p.out.Send(a.from, t)
	}
	r.batch, r.floor, r.losses = nil, 0, 0
	p.begin(now, r)
}
