package consensus

import (
	"bytes"
	"slices"

	"dunlinwell/internal/base/ids"
)

// Promised takes an acceptor's promise.
func (p *Proposer) HandlePromise(now ids.Time, m Promise) {
	p.recordResponse(m.Store, m.ReadsDeltas)
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
		// What was at hand as the question left may have been replaced since.
		s := p.cachedValues[m.Key]
		if s.ballot != m.Accepted {
			r.minCounter = max(r.minCounter, m.Promised.Counter)
			p.beginRound(now, r)
			return
		}
		m.Value = s.value
	}
	r.promises[m.Store] = m
	top, settled := p.highestAccepted(r)
	if r.phase == reading {
		p.handleReadPromises(now, r, top, settled)
		return
	}
	yes := map[uint64]bool{}
	for id := range r.promises {
		yes[id] = true
	}
	if !p.voterSet().IsQuorum(yes) {
		return
	}
	// A settled value that no ask changes needs no second phase.
	if settled && !p.mustRewrite[m.Key] && p.batchIsNoOp(r, top.Value) {
		p.finishRound(now, r)
		return
	}
	p.propose(now, r, top.Value)
}

// highestAccepted gives the highest accepted value, and whether a majority holds it.
func (p *Proposer) highestAccepted(r *round) (Promise, bool) {
	var top Promise
	for _, m := range r.promises {
		if top.Accepted.Less(m.Accepted) {
			top = m
		}
	}
	if p.cachedValues[r.key].ballot.Less(top.Accepted) {
		p.cacheValue(r.key, top.Accepted, top.Value)
	}
	same, all := map[uint64]bool{}, true
	for _, s := range p.voterSet().AllVoters() {
		m, said := r.promises[s.ID]
		same[s.ID] = said && m.Accepted == top.Accepted
		all = all && same[s.ID]
	}
	// A first value that a majority holds may yet lose to another store's.
	if !top.Accepted.IsZero() && top.Accepted.Counter <= maxFirstValueCounter {
		return top, all
	}
	return top, p.voterSet().IsQuorum(same)
}

func (p *Proposer) handleReadPromises(now ids.Time, r *round, top Promise, settled bool) {
	if settled {
		p.recordChosen(now, r.key, top.Accepted, top.Value)
		for _, a := range r.batch {
			a.result = top.Value
		}
		p.finishRound(now, r)
		return
	}
	if len(r.promises) == len(p.voterSet().AllVoters()) {
		r.minCounter = max(r.minCounter, top.Promised.Counter) + 1
		p.beginRound(now, r)
	}
}

func (p *Proposer) batchIsNoOp(r *round, value []byte) bool {
	outs := make([][]byte, len(r.batch))
	v := value
	for i, a := range r.batch {
		if a.Op == Read {
			outs[i] = v
			continue
		}
		v, outs[i] = p.ops[a.Op](r.key, v, a.Arg)
		if !bytes.Equal(v, value) {
			return false
		}
	}
	for i, a := range r.batch {
		a.result = outs[i]
	}
	return true
}

// Learn adds or replaces change functions.
func (p *Proposer) SetOps(ops map[Op]ChangeFunc) {
	for k, f := range ops {
		p.ops[k] = f
	}
}

// Accepted takes an acceptor's vote.
func (p *Proposer) HandleAccepted(now ids.Time, m Accepted) {
	p.recordResponse(m.Store, m.ReadsDeltas)
	r := p.rounds[m.Key]
	if r == nil || r.id != m.Round || (r.phase != accepting && r.phase != replicating) || m.VoterSetNumber != p.voterSet().Number {
		return
	}
	if m.NeedsWholeValue {
		p.sendWholeValue(now, r, m.Store)
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
		r.phase, r.startedAt = replicating, now
		p.cachePromisedBallot(r)
		p.cacheValue(r.key, r.ballot, r.value)
		p.recordChosen(now, r.key, r.ballot, r.value)
		p.notifySubscribers(r)
	}
	// Marks need no grace: a lost disk's place is filled from a majority.
	if isIdempotencyKey(r.key) || p.votedByAllReachable(r) {
		p.finishRound(now, r)
	}
}

func isIdempotencyKey(k ids.RegisterKey) bool { return len(k) > 5 && k[:5] == "mark/" }

// votedByAllReachable tells whether every copy that can be reached has the value.
func (p *Proposer) votedByAllReachable(r *round) bool {
	for _, s := range p.voterSet().AllVoters() {
		if !r.votes[s.ID] && p.IsReachable(s.ID) {
			return false
		}
	}
	return true
}

func (p *Proposer) cachePromisedBallot(r *round) {
	// Large values are outcomes, which are not changed again.
	if isIdempotencyKey(r.key) && len(r.value) > 2048 {
		return
	}
	if _, ok := p.promisedBallots[r.key]; !ok {
		p.promisedOrder = append(p.promisedOrder, r.key)
	}
	p.promisedBallots[r.key] = cachedValue{r.nextBallot, r.value}
	for len(p.promisedOrder) > maxPromisedBallots {
		delete(p.promisedBallots, p.promisedOrder[0])
		p.promisedOrder = p.promisedOrder[1:]
	}
}

func (p *Proposer) expireRequests(now ids.Time, list []*pendingRequest) []*pendingRequest {
	return slices.DeleteFunc(list, func(a *pendingRequest) bool {
		if now < a.deadline {
			return false
		}
		s := Rejected
		if a.proposed {
			s = Indeterminate
		}
		p.out.Send(a.from, Response{ID: a.ID, Attempt: a.Attempt, Outcome: s})
		return true
	})
}
