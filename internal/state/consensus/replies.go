package consensus

import (
	"bytes"
	"slices"

	"dunlinwell/internal/base/ids"
)

// Promised takes an acceptor's promise.
func (p *Proposer) HandlePromise(now ids.Time, m Promise) {
	p.answered(m.Store, m.Differences)
	p.bringUp(now, m)
	r := p.rounds[m.Key]
	if r == nil || r.id != m.Round || (r.phase != reading && r.phase != preparing) || m.VoterSet != p.voterSet().Number {
		return
	}
	if r.phase == preparing && m.Promised != r.ballot {
		p.retreat(now, r, m.Promised)
		return
	}
	if m.Same {
		// What was at hand as the question left may have been replaced since.
		s := p.cachedValues[m.Key]
		if s.ballot != m.Accepted {
			r.floor = max(r.floor, m.Promised.Count)
			p.begin(now, r)
			return
		}
		m.Value = s.value
	}
	r.promises[m.Store] = m
	top, settled := p.survey(r)
	if r.phase == reading {
		p.peeked(now, r, top, settled)
		return
	}
	yes := map[uint64]bool{}
	for id := range r.promises {
		yes[id] = true
	}
	if !p.voterSet().Majority(yes) {
		return
	}
	// A settled value that no ask changes needs no second phase.
	if settled && !p.again[m.Key] && p.unchanged(r, top.Value) {
		p.finish(now, r)
		return
	}
	p.propose(now, r, top.Value)
}

// survey gives the highest accepted value, and whether a majority holds it.
func (p *Proposer) survey(r *round) (Promise, bool) {
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
	for _, s := range p.voterSet().All() {
		m, said := r.promises[s.ID]
		same[s.ID] = said && m.Accepted == top.Accepted
		all = all && same[s.ID]
	}
	// A first value that a majority holds may yet lose to another store's.
	if !top.Accepted.Zero() && top.Accepted.Count <= firstBallots {
		return top, all
	}
	return top, p.voterSet().Majority(same)
}

func (p *Proposer) peeked(now ids.Time, r *round, top Promise, settled bool) {
	if settled {
		p.noteSettled(now, r.key, top.Accepted, top.Value)
		for _, a := range r.batch {
			a.out = top.Value
		}
		p.finish(now, r)
		return
	}
	if len(r.promises) == len(p.voterSet().All()) {
		r.floor = max(r.floor, top.Promised.Count) + 1
		p.begin(now, r)
	}
}

func (p *Proposer) unchanged(r *round, value []byte) bool {
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
		a.out = outs[i]
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
	p.answered(m.Store, m.Differences)
	r := p.rounds[m.Key]
	if r == nil || r.id != m.Round || (r.phase != accepting && r.phase != replicating) || m.VoterSet != p.voterSet().Number {
		return
	}
	if m.Whole {
		p.sendWhole(now, r, m.Store)
		return
	}
	if !m.OK {
		if r.phase == accepting {
			p.retreat(now, r, m.Promised)
		}
		return
	}
	r.votes[m.Store] = true
	if !p.voterSet().Majority(r.votes) || r.first && !p.all(r) {
		return
	}
	if r.phase == accepting {
		r.phase, r.began = replicating, now
		p.cacheBallot(r)
		p.cacheValue(r.key, r.ballot, r.value)
		p.noteSettled(now, r.key, r.ballot, r.value)
		p.sendChosen(r)
	}
	// Marks need no grace: a lost disk's place is filled from a majority.
	if isIdempotencyKey(r.key) || p.everyLive(r) {
		p.finish(now, r)
	}
}

func isIdempotencyKey(k ids.Key) bool { return len(k) > 5 && k[:5] == "mark/" }

// everyLive tells whether every copy that can be reached has the value.
func (p *Proposer) everyLive(r *round) bool {
	for _, s := range p.voterSet().All() {
		if !r.votes[s.ID] && p.IsReachable(s.ID) {
			return false
		}
	}
	return true
}

func (p *Proposer) cacheBallot(r *round) {
	// Large values are outcomes, which are not changed again.
	if isIdempotencyKey(r.key) && len(r.value) > 2048 {
		return
	}
	if _, ok := p.promisedBallots[r.key]; !ok {
		p.order = append(p.order, r.key)
	}
	p.promisedBallots[r.key] = cachedValue{r.next, r.value}
	for len(p.order) > mostLast {
		delete(p.promisedBallots, p.order[0])
		p.order = p.order[1:]
	}
}

func (p *Proposer) expire(now ids.Time, list []*pendingRequest) []*pendingRequest {
	return slices.DeleteFunc(list, func(a *pendingRequest) bool {
		if now < a.due {
			return false
		}
		s := Declined
		if a.sent {
			s = Uncertain
		}
		p.out.Send(a.from, Response{ID: a.ID, Try: a.Try, State: s})
		return true
	})
}
