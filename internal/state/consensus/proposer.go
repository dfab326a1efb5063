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
	out        *event.Outbox
	random     *rand.Rand
	proposerID uint64
	voterSet   func() VoterSet
	ops        map[Op]ChangeFunc
	// Reached tells whether a store's daemon is not gone, for the short grace.
	IsReachable func(store uint64) bool
	// Audience names who must hear of a register's new value.
	Subscribers     func(key ids.RegisterKey) []ids.Address
	rounds          map[ids.RegisterKey]*round
	promisedBallots map[ids.RegisterKey]cachedValue
	// seen holds values of registers other than marks, by the ballot that they
	// were last met under: they are large, and read far more often than changed.
	cachedValues  map[ids.RegisterKey]cachedValue
	promisedOrder []ids.RegisterKey
	replicaTracker
	// lastRoundID numbers the rounds; no other run has used these numbers.
	lastRoundID, highestCounter uint64
	// lastFirstValueCounter counts the ballots of first values, all below those of rounds.
	lastFirstValueCounter uint64
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
	from     ids.Address
	deadline ids.Time
	// sent: a value with this ask's effect has left, so it may take effect.
	proposed bool
	result   []byte
}

type round struct {
	key        ids.RegisterKey
	queued     []*pendingRequest
	batch      []*pendingRequest
	phase      phase
	id         uint64
	ballot     ids.Ballot
	nextBallot ids.Ballot
	minCounter uint64
	startedAt  ids.Time
	resendAt   ids.Time
	retryAt    ids.Time
	// consecutiveLosses counts the rounds in a row that another proposer's ballot ended.
	consecutiveLosses int
	promises          map[uint64]Promise
	votes             map[uint64]bool
	value             []byte
	// first: this round tried to be the register's first; tried: one did.
	firstValue, firstValueTried bool
	// resendCount counts how often this phase's question was sent again.
	resendCount int
	valueDelta
}

// NewProposer makes a proposer whose ballots no other run can have used.
func NewProposer(proposerID uint64, voterSet func() VoterSet, ops map[Op]ChangeFunc, random *rand.Rand, out *event.Outbox) *Proposer {
	return &Proposer{
		out: out, random: random, proposerID: proposerID, lastRoundID: initialRoundID(proposerID), voterSet: voterSet, ops: ops,
		IsReachable: func(uint64) bool { return true }, Subscribers: func(ids.RegisterKey) []ids.Address { return nil },
		rounds: map[ids.RegisterKey]*round{}, promisedBallots: map[ids.RegisterKey]cachedValue{}, cachedValues: map[ids.RegisterKey]cachedValue{}, replicaTracker: newReplicaTracker(),
	}
}

const (
	resendTimeout      = 100 * time.Millisecond
	replicationGrace   = 200 * time.Millisecond
	maxPromisedBallots = 4096
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
	r.queued = append(r.queued, &pendingRequest{Request: a, from: from, deadline: now.Add(time.Duration(a.TimeoutMillis) * time.Millisecond)})
	if r.phase == idle && now >= r.retryAt {
		p.beginRound(now, r)
	}
}

// beginRound runs all that waits as one round, each ask judged alone.
func (p *Proposer) beginRound(now ids.Time, r *round) {
	r.batch = append(r.batch, r.queued...)
	r.queued = nil
	if len(r.batch) == 0 {
		r.phase = idle
		delete(p.rounds, r.key)
		return
	}
	p.lastRoundID++
	r.id, r.startedAt, r.resendCount = p.lastRoundID, now, 0
	r.promises, r.votes = map[uint64]Promise{}, map[uint64]bool{}
	reads := !slices.ContainsFunc(r.batch, func(a *pendingRequest) bool { return a.Op != Read })
	h, known := p.promisedBallots[r.key]
	r.firstValue = false
	switch {
	case reads && r.minCounter == 0 && !p.mustRewrite[r.key]:
		r.phase = reading
	case known:
		// A majority promised this ballot when it took our last value.
		r.ballot = h.ballot
		delete(p.promisedBallots, r.key)
		p.propose(now, r, h.value)
		return
	case p.mayProposeFirstValue(r):
		// A mark is nearly always new: its first value needs no promise where
		// every store takes it as the first.
		r.firstValue = true
		p.lastFirstValueCounter++
		r.ballot = ids.Ballot{Counter: p.lastFirstValueCounter, Proposer: p.proposerID}
		p.propose(now, r, nil)
		return
	default:
		r.phase = preparing
		r.ballot = p.nextBallot(r)
	}
	p.sendPhaseRequests(now, r)
}

// nextBallot gives one above the floor that this run has never used, whatever
// register it was for: a ballot used twice could stand for two values.
func (p *Proposer) nextBallot(r *round) ids.Ballot {
	p.highestCounter = max(p.highestCounter, r.minCounter, maxFirstValueCounter) + 1
	r.minCounter = p.highestCounter
	return ids.Ballot{Counter: p.highestCounter, Proposer: p.proposerID}
}

// propose folds the batch over the value and asks for it to be kept.
func (p *Proposer) propose(now ids.Time, r *round, value []byte) {
	old := value
	delete(p.mustRewrite, r.key)
	for _, a := range r.batch {
		if a.Op == Read {
			a.result = value
			continue
		}
		value, a.result = p.ops[a.Op](r.key, value, a.Arg)
		a.proposed = true
	}
	r.value, r.phase, r.votes, r.resendCount = value, accepting, map[uint64]bool{}, 0
	r.valueDelta = p.computeDelta(r, old)
	r.minCounter = max(r.minCounter, r.ballot.Counter)
	r.nextBallot = p.nextBallot(r)
	p.sendPhaseRequests(now, r)
}

// sendPhaseRequests carries the phase's question to those who have not answered it.
func (p *Proposer) sendPhaseRequests(now ids.Time, r *round) {
	r.resendAt = now.Add(p.retryTimeout(r))
	ro := p.voterSet()
	for _, s := range ro.AllVoters() {
		switch r.phase {
		case reading, preparing:
			if _, ok := r.promises[s.ID]; !ok {
				p.out.Send(s.Address, Prepare{Key: r.key, Ballot: r.ballot, VoterSetNumber: ro.Number, Round: r.id, ReadOnly: r.phase == reading, KnownBallot: p.cachedValues[r.key].ballot})
			}
		case accepting, replicating:
			if !r.votes[s.ID] {
				p.sendAccept(now, s, r, ro.Number)
			}
		}
	}
}

// finishRound answers the batch and goes on with what came meanwhile.
func (p *Proposer) finishRound(now ids.Time, r *round) {
	for _, a := range r.batch {
		t := Response{ID: a.ID, Attempt: a.Attempt, Outcome: Succeeded, Result: a.result}
		if a.Op == Read && a.HaveChecksum != 0 && a.HaveChecksum == Checksum(a.result) {
			t.Result, t.Unchanged = nil, true
		}
		p.out.Send(a.from, t)
	}
	r.batch, r.minCounter, r.consecutiveLosses = nil, 0, 0
	p.beginRound(now, r)
}
