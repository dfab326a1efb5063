package store

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/transport/wire"
)

// recordLossWindow is how long after a loss of disks a retry without an idempotency record
// is answered with idempotency.RecordLost, since its record may have been lost.
const recordLossWindow = 10 * time.Minute

// lostRecordGuard tracks the last loss of disks that the voter set records.
type lostRecordGuard struct {
	// lossCount is VoterSet.LossCount as last seen, and seenAt when it changed. A restart
	// of this store restarts the window.
	lossCount uint64
	seenAt    ids.Time
}

// mayHaveLostRecords reports whether records may be missing because of a recent loss.
func (g *lostRecordGuard) mayHaveLostRecords(now ids.Time, lossCount uint64) bool {
	if lossCount != g.lossCount {
		g.lossCount, g.seenAt = lossCount, now
	}
	return lossCount > 0 && now.Sub(g.seenAt) < recordLossWindow
}

// guardLostRecords wraps the operations that allow a request to run. During
// recordLossWindow they answer a retry without a record with idempotency.RecordLost, since
// it may already have run.
func (s *Store) guardLostRecords(ops map[consensus.Op]consensus.ChangeFunc) map[consensus.Op]consensus.ChangeFunc {
	for _, op := range []consensus.Op{idempotency.OpClaim, idempotency.OpBlock, idempotency.OpNumberAttempt} {
		change := ops[op]
		ops[op] = func(key ids.RegisterKey, old, argument []byte) ([]byte, []byte) {
			mayBeLost := s.lostRecords.mayHaveLostRecords(s.now, s.Acceptor.VoterSet().LossCount)
			if mayBeLost && len(old) == 0 && idempotency.MayBeRetry(argument) {
				out, err := wire.Encode(idempotency.Result{Verdict: idempotency.RecordLost})
				if err == nil {
					return old, out
				}
			}
			return change(key, old, argument)
		}
	}
	return ops
}
