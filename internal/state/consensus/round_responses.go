package consensus

import "dunlinwell/internal/base/ids"

// HandlePromise handles an acceptor's response to a Prepare. The caller must have verified
// that it came from m.Store.
func (p *Proposer) HandlePromise(now ids.Time, m Promise) {
	p.recordResponse(m.Store, m.SupportsDeltas)
	p.catchUp(now, m)
	r := p.rounds[m.Key]
	if r == nil || r.id != m.Round || (r.phase != reading && r.phase != preparing) || m.VoterSetNumber != p.voterSet().Number {
		return
	}
	if r.phase == preparing && m.Promised != r.ballot {
		p.retryAfterBackoff(now, r, m.Promised)
		return
	}
	if m.MatchesKnown {
		cached := p.cachedValues[m.Key]
		if cached.ballot != m.Accepted {
			// The cached value has changed since the Prepare was sent.
			r.minCounter = max(r.minCounter, m.Promised.Counter)
			p.beginRound(now, r)
			return
		}
		m.Value = cached.value
	}
	r.promises[m.Store] = m
	highest, chosen := p.highestAccepted(r)
	if r.phase == reading {
		p.handleReadPromises(now, r, highest, chosen)
		return
	}
	promised := map[uint64]bool{}
	for id := range r.promises {
		promised[id] = true
	}
	if !p.voterSet().IsQuorum(promised) {
		return
	}
	// A chosen value that the batch doesn't change needs no accept phase.
	if chosen && !p.mustRewrite[m.Key] && p.finishIfNoOp(now, r, highest.Value) {
		return
	}
	p.propose(now, r, highest.Value)
}

// highestAccepted returns the promise with the highest accepted ballot, and whether its
// value is known to be chosen.
func (p *Proposer) highestAccepted(r *round) (highest Promise, chosen bool) {
	for _, m := range r.promises {
		if highest.Accepted.Less(m.Accepted) {
			highest = m
		}
	}
	if p.cachedValues[r.key].ballot.Less(highest.Accepted) {
		p.cacheValue(r.key, highest.Accepted, highest.Value)
	}
	holders, heldByAll := map[uint64]bool{}, true
	for _, v := range p.voterSet().AllVoters() {
		m, answered := r.promises[v.ID]
		holders[v.ID] = answered && m.Accepted == highest.Accepted
		heldByAll = heldByAll && holders[v.ID]
	}
	// A first value held only by a quorum isn't chosen: another first value may still win.
	if !highest.Accepted.IsZero() && highest.Accepted.Counter <= maxFirstValueCounter {
		return highest, heldByAll
	}
	return highest, p.voterSet().IsQuorum(holders)
}

// handleReadPromises finishes a read round whose value is chosen. If all voters have responded
// and no value is chosen, it begins a full round.
func (p *Proposer) handleReadPromises(now ids.Time, r *round, highest Promise, chosen bool) {
	if chosen {
		p.recordChosen(now, r.key, highest.Accepted, highest.Value)
		for _, request := range r.batch {
			request.result = highest.Value
		}
		p.finishRound(now, r)
		return
	}
	if len(r.promises) == len(p.voterSet().AllVoters()) {
		r.minCounter = max(r.minCounter, highest.Promised.Counter) + 1
		p.beginRound(now, r)
	}
}

// HandleAccepted handles an acceptor's response to an Accept. The caller must have verified
// that it came from m.Store.
func (p *Proposer) HandleAccepted(now ids.Time, m Accepted) {
	p.recordResponse(m.Store, m.SupportsDeltas)
	r := p.rounds[m.Key]
	if r == nil || r.id != m.Round || (r.phase != accepting && r.phase != replicating) || m.VoterSetNumber != p.voterSet().Number {
		return
	}
	if m.NeedsFullValue {
		p.sendFullValue(now, r, m.Store)
		return
	}
	if !m.OK {
		if r.phase == accepting {
			p.retryAfterBackoff(now, r, m.Promised)
		}
		return
	}
	r.votes[m.Store] = true
	if !p.voterSet().IsQuorum(r.votes) || r.firstValue && !p.votedByAll(r) {
		return
	}
	if r.phase == accepting {
		p.handleChosen(now, r)
	}
	// Idempotency keys don't wait for all replicas: a new voter copies from a majority.
	if isIdempotencyKey(r.key) || p.votedByAllReachable(r) {
		p.finishRound(now, r)
	}
}

// handleChosen moves a round whose value was chosen to the replicating phase.
func (p *Proposer) handleChosen(now ids.Time, r *round) {
	r.phase, r.startedAt = replicating, now
	p.cachePromisedBallot(r)
	p.cacheValue(r.key, r.ballot, r.value)
	p.recordChosen(now, r.key, r.ballot, r.value)
	p.notifySubscribers(r)
}

// votedByAll reports whether every voter has accepted the round's value.
func (p *Proposer) votedByAll(r *round) bool {
	for _, v := range p.voterSet().AllVoters() {
		if !r.votes[v.ID] {
			return false
		}
	}
	return true
}

// votedByAllReachable reports whether every reachable voter has accepted the round's value.
func (p *Proposer) votedByAllReachable(r *round) bool {
	for _, v := range p.voterSet().AllVoters() {
		if !r.votes[v.ID] && p.IsReachable(v.ID) {
			return false
		}
	}
	return true
}
