package consensus

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// ChangeFunc is a change function: it takes a register's value and an argument, and
// returns the next value and the result for the client. It must recognise a change that
// it has made before and leave the value alone then, since rounds are repeated.
type ChangeFunc func(key ids.RegisterKey, old, arg []byte) (next, result []byte)

// Proposer runs the rounds for the requests that are submitted to its store. Any number
// of proposers may be active; ballots, not the choice of proposer, keep registers safe.
type Proposer struct {
	out    *event.Outbox
	random *rand.Rand
	// proposerID is part of every ballot; no other run of any store uses the same.
	proposerID uint64
	voterSet   func() VoterSet
	ops        map[Op]ChangeFunc
	// IsReachable reports whether a store seems to be alive. Rounds wait a moment for
	// the votes of all reachable stores. Always true by default.
	IsReachable func(store uint64) bool
	// Subscribers returns who is sent each new value of a register. None by default.
	Subscribers func(key ids.RegisterKey) []ids.Address
	rounds      map[ids.RegisterKey]*round
	valueCache
	replicaTracker
	// lastRoundID is the id of the last round. No other run begins at the same number.
	lastRoundID uint64
	// highestCounter is the highest ballot counter that this run used or met.
	highestCounter uint64
	// lastFirstValueCounter is the last ballot counter used for a first value; all of
	// them are below those of full rounds (maxFirstValueCounter).
	lastFirstValueCounter uint64
}

const (
	// resendTimeout is how long a round waits for answers before it repeats a small
	// message. It is longer than a round trip, so that repetitions are rare.
	resendTimeout = 100 * time.Millisecond
	// replicationGrace is how long a chosen value waits for the votes beyond the quorum,
	// so that usually every reachable store holds it before the client is answered.
	replicationGrace = 200 * time.Millisecond
)

// NewProposer returns a proposer. No other run may ever have used its proposer id.
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

// SetOps adds change functions, or replaces those of the same Op.
func (p *Proposer) SetOps(ops map[Op]ChangeFunc) { maps.Copy(p.ops, ops) }

// Submit takes a request and answers it later, within the request's time-out. One that
// can't be carried out here, as the store knows no voter set or not the Op, is rejected
// at once.
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

// respond answers a request that did not succeed.
func (p *Proposer) respond(to ids.Address, request Request, outcome Outcome) {
	p.out.Send(to, Response{ID: request.ID, Attempt: request.Attempt, Outcome: outcome})
}

// Tick repeats messages, ends requests that are past their deadline, and begins rounds
// whose backoff is over. It is to be called many times in each resendTimeout.
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
		// Not every store answers, as a first value needs. A full round decides, and
		// the change function recognises its value where some stores accepted it.
		p.retryAfterBackoff(now, r, r.ballot)
	case r.phase == reading && elapsed >= resendTimeout:
		// The copies differ or are silent: a full round decides which value holds.
		r.minCounter++
		p.beginRound(now, r)
	case r.phase != idle && now >= r.resendAt:
		r.resendCount++
		p.sendPhaseRequests(now, r)
	}
}

// expireRequests answers the requests that are past their deadline and returns the others.
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

// RestartRounds begins every round anew, as a new voter set requires.
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

// HasBegunRound reports whether this run has begun a round of that id. Answers to any
// other are not meant for it.
func (p *Proposer) HasBegunRound(round uint64) bool {
	// Ids wrap around at 2^64, and so do both differences.
	initial := initialRoundID(p.proposerID)
	return round-initial-1 < p.lastRoundID-initial
}

// initialRoundID returns the id before a run's first round. An answer is matched to its
// round by this id alone, and may be delivered after the proposer has restarted; so
// each run counts from a start of its own, far from those of the others.
//
// The mixing is the finalizer of splitmix64, a bijection: no two proposer ids begin at
// the same number, and two runs only share one if one of them counts through the gap
// that is left when 2^64 is divided among all runs.
func initialRoundID(proposerID uint64) uint64 {
	x := proposerID
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
