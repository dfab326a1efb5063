package consensus

import (
	"bytes"
	"slices"

	"dunlinwell/internal/base/ids"
)

// There are four kinds of rounds, and beginRound selects the first that applies:
//
//   - A read round, if there are only reads, collects accepted values without a ballot. It
//     succeeds if a quorum already holds the same value.
//   - A short round consists of the accept phase alone, because a quorum promised its ballot
//     when it accepted this proposer's last value (Accept.NextBallot).
//   - A first-value round, for idempotency keys only, consists of the accept phase alone and
//     succeeds if every voter accepts the value.
//   - A full round prepares and accepts. Failed rounds are retried as full rounds, unless the
//     proposer still has a promised ballot.

// phase is the phase of a round.
type phase uint8

const (
	// idle: the round has ended, and the next one waits for its backoff.
	idle phase = iota
	// reading: accepted values are collected without a ballot.
	reading
	// preparing: promises for the ballot are collected.
	preparing
	// accepting: votes for the value are collected; it isn't chosen yet.
	accepting
	// replicating: the value is chosen; votes beyond the quorum are collected.
	replicating
)

// pendingRequest is a request without a response yet.
type pendingRequest struct {
	Request
	from     ids.Address
	deadline ids.Time
	// proposed is set once a value with this request's change was sent to acceptors. The
	// change may then take effect even if the round fails.
	proposed bool
	result   []byte
}

// round holds the requests of a register's current round, those queued for the next one, and
// the protocol state.
type round struct {
	key    ids.RegisterKey
	queued []*pendingRequest
	batch  []*pendingRequest
	phase  phase
	// id identifies the round in messages.
	id     uint64
	ballot ids.Ballot
	// nextBallot is promised along with the vote for the value.
	nextBallot ids.Ballot
	// minCounter is the counter that the next ballot must exceed. If it is above 0, read
	// rounds and first-value rounds are excluded.
	minCounter uint64
	// startedAt is when the round began, or, while replicating, when its value was chosen.
	startedAt ids.Time
	resendAt  ids.Time
	// retryAt is when an idle round may begin again.
	retryAt ids.Time
	// consecutiveLosses counts consecutive rounds preempted by another proposer's ballot.
	consecutiveLosses int
	// promises and votes hold the responses by store ID.
	promises map[uint64]Promise
	votes    map[uint64]bool
	value    []byte
	// firstValue is set in a first-value round, and firstValueTried once one was begun.
	firstValue, firstValueTried bool
	// resendCount is how often the phase's messages were resent.
	resendCount int
	valueDelta
}

// maxFirstValueCounter is below every ballot counter of a full round, so that a first value,
// which was proposed without promises, never supersedes a value chosen later.
const maxFirstValueCounter = 1 << 40

// beginRound begins a round with all queued requests.
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
	r.firstValue = false
	promised, hasPromised := p.promisedBallots[r.key]
	switch {
	case r.onlyReads() && r.minCounter == 0 && !p.mustRewrite[r.key]:
		r.phase = reading
	case hasPromised:
		// A quorum promised this ballot when it accepted the last value.
		r.ballot = promised.ballot
		delete(p.promisedBallots, r.key)
		p.propose(now, r, promised.value)
		return
	case p.mayProposeFirstValue(r):
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

func (r *round) onlyReads() bool {
	return !slices.ContainsFunc(r.batch, func(request *pendingRequest) bool { return request.Op != Read })
}

// mayProposeFirstValue reports whether to begin a first-value round, and returns true at most
// once for r. It requires an idempotency key, as these registers are usually new, and a voter
// set that isn't joint and whose voters are all reachable, since all must accept.
func (p *Proposer) mayProposeFirstValue(r *round) bool {
	set := p.voterSet()
	if !isIdempotencyKey(r.key) || r.firstValueTried || r.minCounter > 0 || len(set.Incoming) > 0 {
		return false
	}
	for _, v := range set.Voters {
		if !p.IsReachable(v.ID) {
			return false
		}
	}
	r.firstValueTried = true
	return true
}

// nextBallot returns a ballot above r.minCounter that this run hasn't used for any register.
// A ballot used twice could identify two values.
func (p *Proposer) nextBallot(r *round) ids.Ballot {
	p.highestCounter = max(p.highestCounter, r.minCounter, maxFirstValueCounter) + 1
	r.minCounter = p.highestCounter
	return ids.Ballot{Counter: p.highestCounter, Proposer: p.proposerID}
}

// propose applies the batch to the register's value and starts the accept phase.
func (p *Proposer) propose(now ids.Time, r *round, value []byte) {
	old := value
	delete(p.mustRewrite, r.key)
	for _, request := range r.batch {
		if request.Op == Read {
			request.result = value
			continue
		}
		value, request.result = p.ops[request.Op](r.key, value, request.Arg)
		request.proposed = true
	}
	r.value, r.phase, r.votes, r.resendCount = value, accepting, map[uint64]bool{}, 0
	r.valueDelta = p.computeDelta(r, old)
	r.minCounter = max(r.minCounter, r.ballot.Counter)
	r.nextBallot = p.nextBallot(r)
	p.sendPhaseRequests(now, r)
}

// sendPhaseRequests sends the phase's request to the voters that haven't responded to it.
func (p *Proposer) sendPhaseRequests(now ids.Time, r *round) {
	r.resendAt = now.Add(p.resendDelay(r))
	set := p.voterSet()
	for _, v := range set.AllVoters() {
		switch r.phase {
		case reading, preparing:
			if _, answered := r.promises[v.ID]; !answered {
				p.out.Send(v.Address, Prepare{
					Key: r.key, Ballot: r.ballot, VoterSetNumber: set.Number, Round: r.id,
					ReadOnly: r.phase == reading, KnownBallot: p.cachedValues[r.key].ballot,
				})
			}
		case accepting, replicating:
			if !r.votes[v.ID] {
				p.sendAccept(now, v, r, set.Number)
			}
		}
	}
}

// finishRound responds to the batch and begins the next round with the queued requests.
func (p *Proposer) finishRound(now ids.Time, r *round) {
	for _, request := range r.batch {
		response := Response{ID: request.ID, Attempt: request.Attempt, Outcome: Succeeded, Result: request.result}
		if request.Op == Read && request.KnownChecksum != 0 && request.KnownChecksum == Checksum(request.result) {
			response.Result, response.Unchanged = nil, true
		}
		p.out.Send(request.from, response)
	}
	r.batch, r.minCounter, r.consecutiveLosses = nil, 0, 0
	p.beginRound(now, r)
}

// finishIfNoOp finishes the round if no request of the batch changes the value.
func (p *Proposer) finishIfNoOp(now ids.Time, r *round, value []byte) bool {
	results := make([][]byte, len(r.batch))
	current := value
	for i, request := range r.batch {
		if request.Op == Read {
			results[i] = current
			continue
		}
		current, results[i] = p.ops[request.Op](r.key, current, request.Arg)
		if !bytes.Equal(current, value) {
			return false
		}
	}
	for i, request := range r.batch {
		request.result = results[i]
	}
	p.finishRound(now, r)
	return true
}
