package consensus

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// ChangeFunc is a change function: it takes a register's value and an argument, and returns
// the next value and the result for the client. Since rounds are retried, it must be
// idempotent: if a change was applied already, it returns the value unmodified.
type ChangeFunc func(key ids.RegisterKey, old, arg []byte) (next, result []byte)

// Proposer runs the rounds for the requests that are submitted to its store. Any number of
// proposers may be active at once, since safety depends only on ballots.
type Proposer struct {
	out    *event.Outbox
	random *rand.Rand
	// proposerID is part of every ballot and unique among all runs of all stores.
	proposerID uint64
	voterSet   func() VoterSet
	ops        map[Op]ChangeFunc
	// IsReachable reports whether a store appears to be alive. Rounds wait briefly for the
	// votes of all reachable stores. It always returns true by default.
	IsReachable func(store uint64) bool
	// Subscribers returns the addresses that receive each new value of a register. It
	// returns none by default.
	Subscribers func(key ids.RegisterKey) []ids.Address
	rounds      map[ids.RegisterKey]*round
	valueCache
	replicaTracker
	// lastRoundID is the ID of the last round. Each run starts at a different ID.
	lastRoundID uint64
	// highestCounter is the highest ballot counter that this run used or observed.
	highestCounter uint64
	// lastFirstValueCounter is the last ballot counter used for a first value. These
	// counters are below those of full rounds (maxFirstValueCounter).
	lastFirstValueCounter uint64
}

const (
	// resendTimeout is how long a round waits for responses before it resends a small
	// message. It exceeds a round trip, so that resends are rare.
	resendTimeout = 100 * time.Millisecond
	// replicationGrace is how long a round with a chosen value waits for votes beyond the
	// quorum, so that usually every reachable store holds it before the client gets a
	// response.
	replicationGrace = 200 * time.Millisecond
)

// NewProposer returns a proposer. The proposer ID must be unique among all runs of all stores.
func NewProposer(proposerID uint64, voterSet func() VoterSet, ops map[Op]ChangeFunc, random *rand.Rand, out *event.Outbox) *Proposer {
	return &Proposer{
		out: out, random: random, proposerID: proposerID, voterSet: voterSet, ops: ops,
		IsReachable:    func(uint64) bool { return true },
		Subscribers:    func(ids.RegisterKey) []ids.Address { return nil },
		rounds:         map[ids.RegisterKey]*round{},
		valueCache:     newValueCache(),
		replicaTracker: newReplicaTracker(),
		lastRoundID:    initialRoundID(proposerID),
	}
}

// SetOps adds change functions, replacing existing ones of the same Op.
func (p *Proposer) SetOps(ops map[Op]ChangeFunc) { maps.Copy(p.ops, ops) }

// Submit queues a request, which gets a response within its timeout. If the store knows no
// voter set or doesn't support the Op, it rejects the request immediately.
func (p *Proposer) Submit(now ids.Time, from ids.Address, request Request) {
	_, known := p.ops[request.Op]
	if len(p.voterSet().Voters) == 0 || !known && request.Op != Read {
		p.respond(from, request, Rejected)
		return
	}
	r := p.rounds[request.Key]
	if r == nil {
		r = &round{key: request.Key}
		p.rounds[request.Key] = r
	}
	timeout := time.Duration(request.TimeoutMillis) * time.Millisecond
	r.queued = append(r.queued, &pendingRequest{Request: request, from: from, deadline: now.Add(timeout)})
	if r.phase == idle && now >= r.retryAt {
		p.beginRound(now, r)
	}
}

// respond sends the response to a request that didn't succeed.
func (p *Proposer) respond(to ids.Address, request Request, outcome Outcome) {
	p.out.Send(to, Response{ID: request.ID, Attempt: request.Attempt, Outcome: outcome})
}

// Tick resends messages, expires requests, and begins rounds whose backoff is over. It must
// be called many times per resendTimeout.
func (p *Proposer) Tick(now ids.Time) {
	for _, key := range slices.Sorted(maps.Keys(p.rounds)) {
		r := p.rounds[key]
		r.queued = p.expireRequests(now, r.queued)
		if r.phase != replicating {
			r.batch = p.expireRequests(now, r.batch)
		}
		p.tickRound(now, r)
	}
}

func (p *Proposer) tickRound(now ids.Time, r *round) {
	elapsed := now.Sub(r.startedAt)
	switch {
	case r.phase == replicating && elapsed >= replicationGrace:
		p.recordMissedVotes(p.voterSet().AllVoters(), r.votes)
		p.finishRound(now, r)
	case r.phase == idle && now >= r.retryAt:
		p.beginRound(now, r)
	case r.phase != idle && len(r.batch) == 0 && len(r.queued) == 0:
		delete(p.rounds, r.key)
	case r.firstValue && r.phase == accepting && elapsed >= resendTimeout/2:
		// A first value needs a vote from every store. Fall back to a full round; the
		// change function detects its value if some stores have accepted it.
		p.retryAfterBackoff(now, r, r.ballot)
	case r.phase == reading && elapsed >= resendTimeout:
		// The replicas disagree or don't respond: a full round decides the value.
		r.minCounter++
		p.beginRound(now, r)
	case r.phase != idle && now >= r.resendAt:
		r.resendCount++
		p.sendPhaseRequests(now, r)
	}
}

// expireRequests responds to the requests that are past their deadline and returns the others.
func (p *Proposer) expireRequests(now ids.Time, requests []*pendingRequest) []*pendingRequest {
	return slices.DeleteFunc(requests, func(request *pendingRequest) bool {
		if now < request.deadline {
			return false
		}
		outcome := Rejected
		if request.proposed {
			outcome = Indeterminate
		}
		p.respond(request.from, request.Request, outcome)
		return true
	})
}

// RestartRounds restarts all running rounds. It must be called when the voter set changes.
func (p *Proposer) RestartRounds(now ids.Time) {
	p.forgetPromisedBallots()
	for _, key := range slices.Sorted(maps.Keys(p.rounds)) {
		r := p.rounds[key]
		if r.phase != idle {
			r.minCounter = max(r.minCounter, r.ballot.Counter)
			r.phase, r.retryAt = idle, now
		}
	}
}

// HasBegunRound reports whether this run has begun the round with the given ID. Responses for
// any other round belong to another run.
func (p *Proposer) HasBegunRound(round uint64) bool {
	// Round IDs may wrap around, so compare offsets from the initial ID.
	initial := initialRoundID(p.proposerID)
	return round-initial-1 < p.lastRoundID-initial
}

// initialRoundID returns the ID before a run's first round. Responses are matched to rounds by
// ID alone and may arrive after the proposer has restarted, so the runs must use different
// IDs.
//
// It applies the finalizer of splitmix64. As that is a bijection, different proposer IDs have
// different initial IDs, and these are spread over all 64-bit numbers, so the ranges of two
// runs are unlikely to overlap.
func initialRoundID(proposerID uint64) uint64 {
	x := proposerID
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
