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
	ID        uint64
	Rejection string
}

// noMajorityFor is how long this store must have asked in vain.
const quorumLossTimeout = 3 * time.Second

// recordLossWindow is how long after a refounding a later attempt whose mark is not
// known is answered "may have run": the mark may have been lost.
const recordLossWindow = 10 * time.Minute

// handleRecoverRequest checks that the order makes sense, and asks the proxies first for
// what they hold.
func (s *Store) handleRecoverRequest(now ids.Time, request RecoverRequest) {
	reason := s.recoveryRejection(now)
	s.Emit(RecoverResponse{ID: request.ID, Rejection: reason})
	if reason != "" {
		s.Log(event.LevelWarn, "refounding declined", "why", reason)
		return
	}
	s.Log(event.LevelWarn, "refounding")
	s.survivingConfiguration, s.recoverAt = consensus.ConfigurationReply{}, now.Add(configurationCollectTime)
	for _, m := range s.Live(membership.Proxy) {
		s.Send(m.Address, consensus.ConfigurationQuery{})
	}
}

func (s *Store) recoveryRejection(now ids.Time) string {
	voterSet := s.Acceptor.VoterSet()
	switch {
	case voterSet.Number == 0:
		return s.totalLossRejection(now)
	case !voterSet.HasVoter(s.StoreID()):
		return "this store has no seat in the roster: it holds nothing to go on from"
	// The roll may not know: who is gone is judged by a majority too. What
	// counts is whether this store's own reads still reach one.
	case s.lastQuorumReadAt != 0 && now.Sub(s.lastQuorumReadAt) < quorumLossTimeout && len(voterSet.Voters) > 1:
		return "a majority of the roster is still there"
	case len(s.storesWithoutVote(now)) < 2:
		return "two blank stores must be running first"
	}
	return ""
}

// storesWithoutVote gives the stores without a seat that greeted of late.
func (s *Store) storesWithoutVote(now ids.Time) []consensus.Voter {
	var out []consensus.Voter
	for _, hello := range s.hellos {
		if now.Sub(hello.receivedAt) < 2*time.Second && !s.Acceptor.VoterSet().HasVoter(hello.Store.ID) {
			out = append(out, hello.Store)
		}
	}
	slices.SortFunc(out, func(a, b consensus.Voter) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// recoverIfDue makes the new voter set: joint between this store alone and itself
// with two blank ones, so that they copy before they count.
func (s *Store) recoverIfDue(now ids.Time) {
	if s.recoverAt == 0 || now < s.recoverAt {
		return
	}
	s.recoverAt = 0
	blankStores := s.storesWithoutVote(now)
	if s.recoveryRejection(now) != "" {
		return
	}
	voterSet := s.Acceptor.VoterSet()
	next := consensus.VoterSet{Number: voterSet.Number + 1000, Voters: []consensus.Voter{s.selfVoter()}, Incoming: []consensus.Voter{s.selfVoter(), blankStores[0], blankStores[1]}, LossCount: voterSet.LossCount + 1}
	raw, err := wire.Encode(next)
	if err != nil {
		return
	}
	// The proxies may have been told of changes that this disk never saw.
	var own, surviving struct {
		Revision ids.Revision `json:"revision"`
	}
	_ = json.Unmarshal(s.LocalValue(configuration.Key), &own)
	if json.Unmarshal(s.survivingConfiguration.Configuration, &surviving) == nil && surviving.Revision > own.Revision {
		s.ForceValue(configuration.Key, s.survivingConfiguration.Configuration)
		s.Log(event.LevelInfo, "policy taken back from a proxy", "revision", formatUint(uint64(surviving.Revision)))
	}
	s.ForceValue(consensus.VoterSetKey, raw)
	s.adoptVoterSet(now, next)
}

// lossy wraps the operations that let a request run. For a while after marks
// were lost, a later attempt that finds nothing may still have run.
func (s *Store) guardLostRecords(ops map[consensus.Op]consensus.ChangeFunc) map[consensus.Op]consensus.ChangeFunc {
	for _, op := range []consensus.Op{idempotency.OpClaim, idempotency.OpBlock, idempotency.OpNumberAttempt} {
		inner := ops[op]
		ops[op] = func(key ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
			lossCount := s.Acceptor.VoterSet().LossCount
			if lossCount != s.lossCount {
				s.lossCount, s.lossSeenAt = lossCount, s.now
			}
			if lossCount > 0 && len(old) == 0 && s.now.Sub(s.lossSeenAt) < recordLossWindow && idempotency.MayBeRetry(arg) {
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
