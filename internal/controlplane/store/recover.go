package store

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/transport/wire"
)

// Refound is an operator's order, after two disks were lost for good, to go on
// from this store alone with two blank ones.
type RecoverRequest struct{ ID uint64 }

// Refounding answers it; an empty Why is yes.
type RecoverResponse struct {
	ID  uint64
	Why string
}

// noMajorityFor is how long this store must have asked in vain.
const noQuorumFor = 3 * time.Second

// lossFor is how long after a refounding a later attempt whose mark is not
// known is answered "may have run": the mark may have been lost.
const lossFor = 10 * time.Minute

// refound checks that the order makes sense, and asks the proxies first for
// what they hold.
func (s *Store) refound(now ids.Time, r RecoverRequest) {
	why := s.cannotRefound(now)
	s.Emit(RecoverResponse{ID: r.ID, Why: why})
	if why != "" {
		s.Log(event.LevelWarn, "refounding declined", "why", why)
		return
	}
	s.Log(event.LevelWarn, "refounding")
	s.survivingConfiguration, s.refoundAt = consensus.ConfigurationReply{}, now.Add(collectConfigurationFor)
	for _, m := range s.Live(membership.Proxy) {
		s.Send(m.Address, consensus.ConfigurationQuery{})
	}
}

func (s *Store) cannotRefound(now ids.Time) string {
	ro := s.Acceptor.VoterSet()
	switch {
	case ro.Number == 0:
		return s.cannotRecoverAll(now)
	case !ro.HasVoter(s.StoreID()):
		return "this store has no seat in the roster: it holds nothing to go on from"
	// The roll may not know: who is gone is judged by a majority too. What
	// counts is whether this store's own reads still reach one.
	case s.agreed != 0 && now.Sub(s.agreed) < noQuorumFor && len(ro.Voters) > 1:
		return "a majority of the roster is still there"
	case len(s.blanks(now)) < 2:
		return "two blank stores must be running first"
	}
	return ""
}

// blanks gives the stores without a seat that greeted of late.
func (s *Store) blanks(now ids.Time) []consensus.Voter {
	var out []consensus.Voter
	for _, m := range s.hellos {
		if now.Sub(m.at) < 2*time.Second && !s.Acceptor.VoterSet().HasVoter(m.Store.ID) {
			out = append(out, m.Store)
		}
	}
	slices.SortFunc(out, func(a, b consensus.Voter) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// refoundIfDue makes the new voter set: joint between this store alone and itself
// with two blank ones, so that they copy before they count.
func (s *Store) refoundIfDue(now ids.Time) {
	if s.refoundAt == 0 || now < s.refoundAt {
		return
	}
	s.refoundAt = 0
	blank := s.blanks(now)
	if s.cannotRefound(now) != "" {
		return
	}
	ro := s.Acceptor.VoterSet()
	next := consensus.VoterSet{Number: ro.Number + 1000, Voters: []consensus.Voter{s.self()}, Incoming: []consensus.Voter{s.self(), blank[0], blank[1]}, LossCount: ro.LossCount + 1}
	raw, err := wire.Encode(next)
	if err != nil {
		return
	}
	// The proxies may have been told of changes that this disk never saw.
	var own, theirs struct {
		Revision ids.Revision `json:"revision"`
	}
	_ = json.Unmarshal(s.LocalValue(configuration.Key), &own)
	if json.Unmarshal(s.survivingConfiguration.Configuration, &theirs) == nil && theirs.Revision > own.Revision {
		s.ForceValue(configuration.Key, s.survivingConfiguration.Configuration)
		s.Log(event.LevelInfo, "policy taken back from a proxy", "revision", itoa(uint64(theirs.Revision)))
	}
	s.ForceValue(consensus.VoterSetKey, raw)
	s.adoptVoterSet(now, next)
}

// lossy wraps the operations that let a request run. For a while after marks
// were lost, a later attempt that finds nothing may still have run.
func (s *Store) guardLostKeys(ops map[consensus.Op]consensus.ChangeFunc) map[consensus.Op]consensus.ChangeFunc {
	for _, op := range []consensus.Op{idempotency.OpClaim, idempotency.OpBlock, idempotency.OpEnter} {
		inner := ops[op]
		ops[op] = func(key ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
			loss := s.Acceptor.VoterSet().LossCount
			if loss != s.lossCount {
				s.lossCount, s.lossAt = loss, s.now
			}
			if loss > 0 && len(old) == 0 && s.now.Sub(s.lossAt) < lossFor && idempotency.Later(arg) {
				out, err := wire.Encode(idempotency.Result{Verdict: idempotency.RecordLost})
				if err == nil {
					return old, out
				}
			}
			return inner(key, old, arg)
		}
	}
	return ops
}
